/// \file
/// Schedules the reads of the platform's store, which one node performs on behalf of all.
#pragma once

#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// Times of reader_schedule. makeReaderScheduleSettings() derives them from the staleness bound.
struct reader_turn_settings {
    std::chrono::milliseconds period { 500 }; ///< between two reads of the reader
    std::chrono::milliseconds lonelyPeriod { 1'300 }; ///< between two reads of an isolated node
    std::chrono::milliseconds takeover { 1'125 }; ///< without a known read for this long, the next node takes over
    std::chrono::milliseconds nextAttempt { 125 }; ///< after a failed read, until the next node tries
    /// Delay between nodes of adjacent ranks, so that one node reads and not all.
    std::chrono::milliseconds rankStep { 50 };
    std::chrono::milliseconds longestRankDelay { 1'000 }; ///< delay of the node with the highest rank
    std::chrono::milliseconds startDelay { 600 }; ///< a starting node waits this long for digests of other nodes
    std::chrono::milliseconds longestRetry { 4'000 }; ///< upper bound of the exponential back-off after failed reads
};

/// \param bound longest time until a change reaches any node
/// \return times with which two consecutive readers may fail within \p bound
reader_turn_settings makeReaderTurnSettings(std::chrono::milliseconds bound);

/// Decides when this node reads the store. The node that read last remains the reader. The other nodes receive the
/// time of each read in digests and take over in the order of their ranks when no digest reports a read. No election
/// is needed, and an unavailable store is not queried by all nodes. Not synchronized.
class reader_turn {
public:
    /// \param self rank number of this node, unique among the nodes
    /// \param readsAtStart whether this node reads at its start instead of waiting for digests of other nodes
    reader_turn(const reader_turn_settings& settings, std::uint32_t self, bool readsFirst, instant startedAt);

    /// Sets the rank of this node among the nodes that are believed alive.
    /// \param rank number of nodes with lower rank numbers
    /// \param nodes number of all nodes, including this one
    void setRank(std::size_t rank, std::size_t nodes);

    /// Sets whether no other node can be reached. An isolated node reads for itself only, and less often.
    void setLonely(bool lonely) { m_lonely = lonely; }

    /// Records that a node read the store successfully at \p at.
    /// \param reader rank number of that node
    void heardReading(instant at, std::uint32_t reader);

    /// Records that a read by some node failed at \p at.
    /// \return whether the attempt is new: no read since is known, and no other attempt at about the same time
    bool heardAttempt(instant at);

    /// Records that this node has sent a read to the store.
    void readingStarted(instant now);

    /// Treats the read in progress as a failed attempt, so that other nodes need not wait for its end.
    void readingIsSlow(instant now);

    /// \param done whether the store responded
    void readingEnded(bool done, instant now);

    /// \return the time of the next read by this node unless another read is recorded before
    instant dueAt() const;

    /// \return the time before which this node does not read again after failed reads
    instant retryAt() const { return m_retryAt; }

    /// \return whether this node is the reader
    bool isReader() const { return m_isReader; }

    /// \return the rank number of the last reader known to this node
    std::uint32_t reader() const { return m_reader; }

    /// \return the time of the last read by any node, if there was one
    std::optional<instant> lastReading() const { return m_lastReading; }

    /// \return the time of the last failed attempt by any node, if no read has succeeded since
    std::optional<instant> lastAttempt() const { return m_lastAttempt; }

private:
    std::chrono::milliseconds rankDelay() const;
    void forgetAttempts();

    reader_turn_settings m_settings;
    std::uint32_t m_self;
    bool m_readsFirst;
    instant m_startedAt;
    std::size_t m_rank = 0;
    std::size_t m_nodes = 1;
    bool m_lonely = false;
    std::optional<instant> m_lastReading;
    std::optional<instant> m_lastAttempt;
    instant m_voidUntil; // attempts up to this time are superseded by a read
    std::uint32_t m_attemptsInRow = 0;
    bool m_isSlow = false; // the read in progress was recorded as a failed attempt
    instant m_readingStartedAt;
    instant m_retryAt;
    std::uint32_t m_failures = 0;
    std::uint32_t m_reader;
    bool m_isReader = false;
};

} // namespace oriolepick
