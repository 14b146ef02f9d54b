/// \file
/// Follows one table of the store without sockets: which reads and pulls are newer than the replica, and which of their
/// rows count.
#pragma once

#include "gateway/table_replica.h"
#include "routing/store_gossip.h"

#include <functional>
#include <optional>
#include <vector>

namespace oriolepick {

struct news_batch;
struct row_answer;
struct target_departure;

/// Keeps the replica of a table and passes its rows to the component that uses them. Not synchronized.
class table_follower {
public:
    /// The component that uses the rows.
    struct consumer {
        table_replica::row_classifier classify; ///< see table_replica::row_classifier
        std::function<void(const std::vector<stored_row>&)>
            onAll; ///< called with all rows of the table and its last removals
        std::function<void(const stored_row&)> onChange; ///< called with a changed or removed row
        table_replica::row_version versionOf {}; ///< see table_replica
        table_replica::revision_condition keepsRevision {}; ///< see table_replica
        std::function<std::vector<target_departure>()> departures {}; ///< returns what is sent with the rows
        /// Called with what another node has sent, before its rows are applied.
        std::function<void(const std::vector<target_departure>&)> onDepartures {};
    };

    explicit table_follower(consumer rows);

    /// \param after revision after which the changes were requested
    /// \return whether the changes in \p answer are not all changes, because the store has been restored or has dropped
    /// its history
    static bool needsWholeTable(const row_answer& answer, const store_version& after);

    /// Merges rows that were read from the store, and passes them to the consumer.
    /// \param whole the answer contains the whole table
    /// \return whether the answer is at least as new as the replica; otherwise nothing is merged
    bool mergeRead(const row_answer& answer, bool whole);

    /// Returns what another node lacks, see table_replica::changesAfter().
    news_batch changesAfter(const std::optional<content_revision>& changeRevision) const;

    /// \return the departures that are known here
    std::vector<target_departure> departures() const;

    /// Passes departures that another node knows to the consumer.
    void mergeDepartures(const std::vector<target_departure>& departures);

    /// Merges rows and departures of another node, and passes them to the consumer.
    /// \param requestedRevision changeRevision() of the replica when the rows were requested
    /// \return whether the batch is newer than the replica; otherwise only the departures are merged
    bool mergePulled(const news_batch& batch, const content_revision& requestedRevision);

    /// \return the version held here, which matched the store at \p asOf
    topic_version version(instant asOf) const;

    /// See table_replica::adoptRevision().
    void adoptRevision(const content_revision& changeRevision) { m_replica.adoptRevision(changeRevision); }

    const table_replica& replica() const { return m_replica; }

private:
    store_version withKnownEpoch(const store_version& revision) const;
    news_batch withKnownEpoch(const news_batch& batch) const;

    consumer m_consumer;
    table_replica m_replica;
};

} // namespace oriolepick
