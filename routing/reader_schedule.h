/// \file
/// Schedules the reads of the platform's store, which one node performs on behalf of all.
#pragma once

#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// Times of reader_schedule. makeReaderScheduleSettings() derives them from the staleness bound.
struct reader_schedule_settings {
    std::chrono::milliseconds period { 500 }; ///< between two reads of the reader
    std::chrono::milliseconds isolatedPeriod { 1'300 }; ///< between two reads of an isolated node
    std::chrono::milliseconds takeoverDelay { 1'125 }; ///< without a known read for this long, the next node takes over
    std::chrono::milliseconds nextAttemptDelay { 125 }; ///< after a failed read, until the next node tries
    /// Delay between nodes of adjacent ranks, so that one node reads and not all.
    std::chrono::milliseconds rankStep { 50 };
    std::chrono::milliseconds maxRankDelay { 1'000 }; ///< up to here the delay grows by rankStep
    std::chrono::milliseconds startDelay { 600 }; ///< a starting node waits this long for digests of other nodes
    std::chrono::milliseconds maxRetryDelay { 1'000 }; ///< upper bound of the exponential back-off after failed reads
};

/// \param bound longest time until a change reaches any node
/// \return times with which two consecutive readers may fail within \p bound
reader_schedule_settings makeReaderScheduleSettings(std::chrono::milliseconds bound);

/// Decides when this node reads the store. The node that read last remains the reader. The other nodes receive the
/// time of each read in digests and take over in the order of their ranks when no digest reports a read. No election
/// is needed, and an unavailable store is not queried by all nodes. How long the store was unavailable, and how often,
/// does not change when the next read is due: a read without a response counts as failed and delays no other one, and
/// back-offs are bounded by a fraction of the staleness bound. Not synchronized.
class reader_schedule {
public:
    /// \param self rank number of this node, unique among the nodes
    /// \param readsAtStart whether this node reads at its start instead of waiting for digests of other nodes
    reader_schedule(const reader_schedule_settings& settings, std::uint32_t self, bool readsAtStart, instant startedAt);

    /// Sets the rank of this node among the nodes that are believed alive.
    /// \param rank number of nodes with lower rank numbers
    /// \param nodes number of all nodes, including this one
    void setRank(std::size_t rank, std::size_t nodes);

    /// Sets whether no other node can be reached. An isolated node reads for itself only, and less often.
    void setIsolated(bool isolated) { m_isolated = isolated; }

    /// Records that a node read the store successfully at \p at.
    /// \param reader rank number of that node
    void recordRead(instant at, std::uint32_t reader);

    /// Records that a read by some node failed at \p at.
    /// \return whether the attempt is new: no read since is known, and no other attempt at about the same time
    bool recordFailedAttempt(instant at);

    /// Records that the read of this node that started at \p startedAt has no response yet. It counts as a failed
    /// attempt, so that neither this node nor others wait for its end.
    void markReadSlow(instant startedAt, instant now);

    /// Records the end of a read of this node.
    /// \param done whether the store responded
    /// \param startedAt start of the read
    /// \param wasSlow whether the read was recorded as a failed attempt before
    void readEnded(bool done, instant startedAt, bool wasSlow, instant now);

    /// \return the time of the next read by this node unless another read is recorded before
    instant dueAt() const;

    /// \return the time before which this node does not read again after failed reads
    instant retryAt() const { return m_retryAt; }

    /// \return whether this node is the reader
    bool isReader() const { return m_isReader; }

    /// \return the rank number of the last reader known to this node
    std::uint32_t reader() const { return m_reader; }

    /// \return the time of the last read by any node, if there was one
    std::optional<instant> lastRead() const { return m_lastRead; }

    /// \return the time of the last failed attempt by any node, if no read has succeeded since
    std::optional<instant> lastFailedAttempt() const { return m_lastFailedAttempt; }

private:
    std::chrono::milliseconds rankDelay() const;
    std::size_t steps() const;
    void recordFailure(instant startedAt, instant now);
    void clearFailedAttempts();

    reader_schedule_settings m_settings;
    std::uint32_t m_self;
    bool m_readsAtStart;
    instant m_startedAt;
    std::size_t m_rank = 0;
    std::size_t m_nodes = 1;
    bool m_isolated = false;
    std::optional<instant> m_lastRead;
    std::optional<instant> m_lastFailedAttempt;
    instant m_attemptsIgnoredUntil; // attempts up to this time are superseded by a read
    std::uint32_t m_consecutiveAttempts = 0;
    std::optional<instant> m_unansweredSince; // start of the newest read of this node, while it counts as failed
    instant m_retryAt;
    std::uint32_t m_failures = 0;
    std::uint32_t m_reader;
    bool m_isReader = false;
};

} // namespace oriolepick
