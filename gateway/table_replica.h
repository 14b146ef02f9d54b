/// \file
/// What one node knows of a table of the platform's store, and its last changes, for other nodes.
#pragma once

#include "gateway/news_batch.h"
#include "gateway/row_source.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Holds all rows of one table. Changes that say nothing new, as renewals of registrations, are not kept or handed on.
class table_replica {
public:
    /// \return whether a row says anything that is not known; called before the row is applied anywhere
    using update_filter = std::function<bool(const stored_row&)>;

    /// \param isUpdate without it, a row is news when its bytes have changed
    explicit table_replica(update_filter isUpdate = {});

    /// The whole table was read as of \p readRevision.
    /// \param changeRevision its last change, where known; otherwise \p readRevision if anything is new
    /// \return the rows that say anything new, removed ones among them
    std::vector<stored_row> replaceAll(
        const std::vector<stored_row>& rows, std::uint64_t readRevision, std::uint64_t changeRevision = 0);

    /// The changes after readRevision() up to \p readRevision were read.
    /// \param changeRevision as for replaceAll()
    /// \return the rows that say anything new
    std::vector<stored_row> applyChanges(
        const std::vector<stored_row>& rows, std::uint64_t readRevision, std::uint64_t changeRevision = 0);

    /// Nothing new has happened up to \p readRevision.
    void confirm(std::uint64_t readRevision);

    /// \param changeRevision of another node, nothing when it knows nothing
    /// \return the changes after it, or all rows when they are not known any more; the age is not set
    news_batch changesAfter(std::optional<std::uint64_t> changeRevision) const;

    /// \return whether the table was read at least once
    bool isLoaded() const { return m_loaded; }

    std::uint64_t changeRevision() const { return m_changeRevision; }
    std::uint64_t readRevision() const { return m_readRevision; }
    std::size_t size() const { return m_rows.size(); }

private:
    struct batch {
        std::uint64_t revision;
        std::vector<stored_row> rows;
    };

    bool isUpdate(const stored_row& row) const;
    void appendIfAny(const std::vector<stored_row>& updates, std::uint64_t changeRevision);
    void append(std::vector<stored_row> rows, std::uint64_t revision);

    /// Rows in the history beyond which the whole table is the shorter answer, for small tables.
    static constexpr std::size_t MinHistoryRows = 64;

    update_filter m_isUpdate;
    std::map<std::string, std::string> m_rows;
    std::deque<batch> m_history;
    std::size_t m_historyRows = 0;
    std::uint64_t m_historyFrom = 0; // changes after it are in the history
    std::uint64_t m_changeRevision = 0;
    std::uint64_t m_readRevision = 0;
    bool m_loaded = false;
};

} // namespace oriolepick
