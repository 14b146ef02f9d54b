/// \file
/// Group commit of call rows: one transaction in flight holds all pending rows of a node.
#pragma once

#include "core/error.h"
#include "core/instant.h"
#include "core/seeded_random.h"
#include "core/table_transaction.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Limits and pace of the commits.
struct committer_settings {
    std::chrono::milliseconds groupInterval { 5 }; ///< shortest time between two commits; rows gather in it
    double fleetCommitsPerSecond
        = 200; ///< share of the table's several hundred writes that all nodes may use for calls
    std::size_t maxRowsPerCommit = 256;
    std::size_t maxBytesPerCommit = std::size_t { 1 } << 20;
    std::size_t maxPendingRows = 4096; ///< further rows are not taken
    std::chrono::milliseconds minBackoff { 50 }; ///< wait after the first failed commit; doubles with each further one
    std::chrono::milliseconds maxBackoff { 2000 };
};

/// One conditional write of one row.
struct pending_write {
    std::uint64_t owner = 0; ///< chosen by the caller; one write of each owner is pending at most
    std::string key;
    std::optional<std::uint64_t> version; ///< expected version; nothing means that the row must be absent
    std::string value;
};

/// How a pending write ended.
enum class write_status {
    Written, ///< took effect
    Conflicted, ///< its condition failed; an earlier send of the same write may have taken effect
    Rejected, ///< the table does not accept it; it surely had no effect
};

/// The end of one pending write.
struct write_completion {
    std::uint64_t owner = 0;
    write_status end = write_status::Written;
    std::uint64_t version = 0; ///< new version when Written, 0 when the table did not tell
};

/// Groups writes into transactions. A transaction with an unknown outcome is repeated: its conditions make the second
/// effect impossible, and the owner finds its own row when it reads after the conflict.
class claim_committer {
public:
    claim_committer(committer_settings settings, std::uint64_t seed);

    /// Sets the number of live nodes that share the fleet's commits.
    void setFleetSize(std::size_t nodes);

    /// Adds a write.
    /// \return false when too many are pending; the write is surely without effect then
    bool add(pending_write write);

    /// Takes back the write of \p owner.
    /// \return true when it was removed and surely had no effect; false when it stays pending or is not known
    bool withdraw(std::uint64_t owner);

    /// \return the transaction to send now, or nothing when none is due
    std::optional<table_transaction> takeCommit(instant now);

    /// Takes the outcome of the transaction in flight.
    /// \return the writes that ended; all others of the transaction stay pending
    std::vector<write_completion> finishCommit(instant now, const result<table_outcome>& outcome);

    /// \return when takeCommit() is due next, or nothing when no write is pending or a transaction is in flight
    std::optional<instant> wakeAt() const;

    std::size_t pendingRows() const { return m_pending.size() + m_inFlight.size(); }
    std::uint64_t commits() const { return m_commits; }
    std::uint64_t rowsWritten() const { return m_rowsWritten; }

private:
    struct queued_write {
        pending_write write;
        bool maybeApplied = false; ///< an earlier send has an unknown outcome
        bool sendAlone = false; ///< sent by itself, to find the write that the table does not accept
    };

    void refillTokens(instant now);
    void backOff(instant now);
    void requeue(std::vector<queued_write> entries);
    std::vector<write_completion> completeAll(const table_outcome& outcome);
    std::vector<write_completion> completeConflicts(const table_outcome& outcome);
    std::vector<write_completion> completeRejected();

    committer_settings m_settings;
    seeded_random m_random;
    std::size_t m_nodes = 1;
    std::deque<queued_write> m_pending;
    std::vector<queued_write> m_inFlight;
    double m_tokens = 1;
    instant m_refilledAt;
    instant m_nextCommitAt;
    unsigned m_consecutiveFailures = 0;
    std::uint64_t m_commits = 0;
    std::uint64_t m_rowsWritten = 0;
};

} // namespace oriolepick
