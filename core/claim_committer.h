/// \file
/// Group commit of call rows: the pending rows of a node are written in one transaction at a time.
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

/// Limits and rate of the commits.
struct committer_settings {
    std::chrono::milliseconds groupInterval { 5 }; ///< shortest time between two commits, in which rows are collected
    double fleetCommitsPerSecond = 200; ///< for calls of all nodes; the table takes several hundred writes per second
    std::size_t maxRowsPerCommit = 256;
    std::size_t maxBytesPerCommit = std::size_t { 1 } << 20;
    std::size_t maxPendingRows = 4096; ///< further rows are rejected
    std::chrono::milliseconds minBackoff { 50 }; ///< after the first failed commit; doubles with each further failure
    std::chrono::milliseconds maxBackoff { 2000 };
};

/// A conditional write of one row.
struct pending_write {
    std::uint64_t owner = 0; ///< chosen by the caller; each owner has at most one pending write
    std::string key;
    std::optional<store_version> version; ///< expected version, or nothing if the row must be absent
    std::string value;
};

/// Result of a write.
enum class write_status {
    Written, ///< the write took effect
    Conflicted, ///< the condition failed; an earlier send of the same write may have taken effect
    Rejected, ///< the table does not accept the write; certain to have had no effect
};

/// Completion of one write.
struct write_completion {
    std::uint64_t owner = 0;
    write_status end = write_status::Written;
    store_version version; ///< new version when Written; number 0 if the table did not return it
};

/// Groups writes into transactions. A transaction with an unknown outcome is sent again: its conditions prevent a
/// second effect, and the owner finds its own row when it reads the table after the conflict.
class claim_committer {
public:
    claim_committer(committer_settings settings, std::uint64_t seed);

    /// Sets the number of live nodes that share the fleet's commit rate.
    void setFleetSize(std::size_t nodes);

    /// Adds a write.
    /// \return false if too many writes are pending; the write has no effect then
    bool add(pending_write write);

    /// Withdraws the write of \p owner.
    /// \return true if the write was removed and is certain to have no effect, false if it stays pending or is unknown
    bool withdraw(std::uint64_t owner);

    /// \return the transaction to send now, or nothing if none is due
    std::optional<table_transaction> takeCommit(instant now);

    /// Processes the outcome of the transaction in flight.
    /// \return the completed writes; all other writes of the transaction stay pending
    std::vector<write_completion> finishCommit(instant now, const result<table_outcome>& outcome);

    /// \return when takeCommit() is due next, or nothing if no write is pending or a transaction is in flight
    std::optional<instant> wakeAt() const;

    std::size_t pendingRows() const { return m_pending.size() + m_inFlight.size(); }
    std::uint64_t commits() const { return m_commits; }
    std::uint64_t rowsWritten() const { return m_rowsWritten; }

private:
    struct queued_write {
        pending_write write;
        bool maybeApplied = false; ///< an earlier send has an unknown outcome
        bool sendAlone = false; ///< sent in its own transaction, to isolate the write that the table does not accept
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
