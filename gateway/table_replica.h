/// \file
/// A node's replica of a table in the platform's store, with the last changes for other nodes.
#pragma once

#include "gateway/news_batch.h"
#include "gateway/row_source.h"
#include "routing/content_revision.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

/// What a row that was read from the store changes.
enum class row_effect {
    Update, ///< something that all nodes must know
    Renewal, ///< nothing but the time of the last renewal
    Outdated, ///< nothing: the row was written late and describes an earlier state
};

/// Holds all rows of one table. Changes read from the store that are no updates, such as renewals of registrations, are
/// not kept and not sent to other nodes, unless the store or another node had an outdated row in their place before:
/// nodes that took over the whole table then know that row only, and must learn of the next one. Updates of another
/// node are kept and sent on as they are: this node may know less than a node that pulls them from here.
class table_replica {
public:
    /// \return what a row of the store changes; called before the row is applied anywhere
    using row_classifier = std::function<row_effect(const stored_row&)>;
    /// Applies a row that is not outdated, before the next row is classified: of two rows with the same key, the later
    /// one may be a late write of an earlier state.
    using row_listener = std::function<void(const stored_row&)>;

    /// \return the version that the writer of a row assigned to it; nothing for a row without one. Called once for each
    /// row that is read or pulled, unless its value is the held one
    using row_version = std::function<std::optional<std::uint64_t>(const stored_row&)>;

    /// \return whether the revision of a row is part of its content: the row is an update when it was written again,
    /// also with the same value, and its revision is sent to other nodes
    using revision_condition = std::function<bool(const stored_row&)>;

    /// \param classify if empty, a row is an update when its bytes have changed
    /// \param versionOf if empty, no row has a version. Rows with versions are never replaced by lower versions and
    /// never removed, since a restored store returns what it had before
    /// \param keepsRevision if empty, no revisions are kept
    explicit table_replica(
        row_classifier classify = {}, row_version versionOf = {}, revision_condition keepsRevision = {});

    /// Replaces the table by \p rows, read at \p readRevision. Removed rows among them are not part of the table. In a
    /// later epoch of the store, rows that are outdated by what is known here are not taken over.
    /// \param pulledRevision revision of the last update, if the rows are those of another node; nothing for rows of
    /// the store, whose updates get \p readRevision
    ///
    /// \return the updates, including removed rows
    std::vector<stored_row> replaceAll(const std::vector<stored_row>& rows, const store_version& readRevision,
        const std::optional<content_revision>& pulledRevision = {});

    /// Applies the changes after readRevision() up to \p readRevision. A removed row keeps the last value that is
    /// known, so that a node which did not know it can recognize late writes.
    /// \param pulledRevision as for replaceAll()
    /// \param apply called with each row that is not outdated
    /// \return the updates
    std::vector<stored_row> applyChanges(const std::vector<stored_row>& rows, const store_version& readRevision,
        const std::optional<content_revision>& pulledRevision = {}, const row_listener& apply = {});

    /// Records that other nodes hold the same content under \p changeRevision.
    void adoptRevision(const content_revision& changeRevision);

    /// \param changeRevision revision at another node, or nothing when that node has no rows
    /// \return the updates after \p changeRevision, or all rows and the last removals when the history does not reach
    /// back so far, or when this node was without news at that revision; the age is not set
    news_batch changesAfter(const std::optional<content_revision>& changeRevision) const;

    /// \return whether the table was read at least once
    bool isLoaded() const { return m_loaded; }

    const content_revision& changeRevision() const { return m_changeRevision; }
    const store_version& readRevision() const { return m_readRevision; }
    std::size_t size() const { return m_rows.size(); }

    /// \return a number that rises whenever changesAfter() may return other rows for the same revision
    std::uint64_t updates() const { return m_updates; }

    /// \return the size of all values that are kept: those of the table, the last removals and the history. A value
    /// that several of them share counts for each
    std::size_t valueBytes() const;

private:
    struct held_row {
        shared_text value;
        std::optional<std::uint64_t> version; // reading it from the value may cost as much as decoding the value
        std::uint64_t revision = 0; // 0 if it is not kept
        store_version seenAt; // the store contained the row then
    };
    struct batch {
        content_revision revision;
        std::size_t changes; // number of rows, with those that were released
        std::vector<stored_row> rows;
    };

    row_effect effectOf(const stored_row& row, const std::optional<std::uint64_t>& version) const;
    row_effect effectOfPulled(const stored_row& row, const std::optional<std::uint64_t>& version, bool mayBeOutdated);
    row_effect effectOfRead(const stored_row& row, const std::optional<std::uint64_t>& version);
    bool isOutdatedHere(const stored_row& row) const;
    std::optional<std::uint64_t> versionOf(const stored_row& row) const;
    std::optional<std::uint64_t> heldVersionOf(const std::string& key) const;
    bool hasChanged(const stored_row& row) const;
    bool isFormerRemoval(const stored_row& row, const store_version& readRevision) const;
    std::uint64_t keptRevision(const stored_row& row) const;
    stored_row kept(const stored_row& row) const;
    void store(const stored_row& row, const std::optional<std::uint64_t>& version, const store_version& seenAt);
    void recordRemoval(const stored_row& row);
    content_revision revisionOf(
        const std::vector<stored_row>& updates, const std::optional<content_revision>& pulledRevision) const;
    void appendIfAny(const std::vector<stored_row>& updates, const std::optional<content_revision>& pulledRevision);
    void append(std::vector<stored_row> rows, const content_revision& revision);
    void releaseReplaced(const std::vector<stored_row>& rows);
    void startHistory(const content_revision& revision);
    void recordGap(const store_version& lastKnown);
    bool hasUpdatesAfter(const content_revision& revision) const;

    /// Minimal number of rows that the history may hold. In larger tables, the history may hold as many rows as the
    /// table: beyond, sending the whole table takes fewer bytes.
    static constexpr std::size_t MinHistoryRows = 64;

    /// Removals that a node without the table receives, so that it recognizes late writes of these rows.
    static constexpr std::size_t MaxRemovals = 64;

    row_classifier m_classify;
    row_version m_versionOf;
    revision_condition m_keepsRevision;
    std::map<std::string, held_row> m_rows;
    std::set<std::string> m_overwritten; // keys of rows in whose place the store, or another node, has an outdated one
    std::deque<stored_row> m_removals; // with the last known values, oldest first
    std::deque<batch> m_history;
    std::size_t m_historyRows = 0;
    std::uint64_t m_updates = 0; // of the history
    content_revision m_historyFrom; // the history contains all updates after this revision
    /// Between these revisions this node replaced its table: what was written and removed again in between is unknown.
    std::optional<std::pair<store_version, store_version>> m_gap;
    content_revision m_changeRevision;
    store_version m_readRevision;
    bool m_loaded = false;
};

} // namespace oriolepick
