/// \file
/// When this node reads the platform's store on behalf of all nodes.
#pragma once

#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// Times of reader_schedule; makeReaderScheduleSettings derives them from how late news may be.
struct reader_schedule_settings {
    std::chrono::milliseconds period { 500 }; ///< between two readings of the node that reads
    std::chrono::milliseconds isolatedPeriod { 1'300 }; ///< the same of a node that is cut off from the others
    std::chrono::milliseconds takeoverDelay { 1'125 }; ///< without news for this long, the next node reads
    std::chrono::milliseconds nextAttemptDelay { 125 }; ///< after a reading in vain, before the next node tries
    std::chrono::milliseconds rankStep { 50 }; ///< between the first nodes in line, so that one reads and not all
    std::chrono::milliseconds maxRankDelay { 1'000 }; ///< of the last node in line
    std::chrono::milliseconds startDelay { 600 }; ///< a node that starts waits this long for news of others
    std::chrono::milliseconds maxRetryDelay { 4'000 }; ///< between readings that fail; doubled up to it
};

/// \param bound how late any news may be at any node
/// \return times by which two readers in a row may be lost within \p bound
reader_schedule_settings makeReaderScheduleSettings(std::chrono::milliseconds bound);

/// The node that read last goes on reading. The others hear of each reading and take over in the order of their ranks
/// when they hear of none, so that nobody has to be elected and a store that is away is not asked by all.
/// Not synchronized.
class reader_schedule {
public:
    /// \param self rank number of this node, different on each node
    /// \param readsAtStart whether this node reads at once when it starts, instead of waiting for news of others
    reader_schedule(const reader_schedule_settings& settings, std::uint32_t self, bool readsAtStart, instant startedAt);

    /// Sets this node's place among the nodes that are believed alive.
    /// \param rank nodes before this one
    /// \param nodes all of them, this one included
    void setRank(std::size_t rank, std::size_t nodes);

    /// Sets whether nothing is heard of the other nodes: this one then reads for itself alone, and less often.
    void setIsolated(bool isolated) { m_isolated = isolated; }

    /// Some node read the store successfully at \p at.
    /// \param reader its rank number
    void recordRead(instant at, std::uint32_t reader);

    /// Some node asked the store in vain at \p at.
    /// \return whether that is news: no reading is known since, and no other attempt at about that time
    bool recordFailedAttempt(instant at);

    /// This node has asked the store.
    void readStarted(instant now);

    /// The reading in progress takes long: others need not wait for its end.
    void markReadSlow(instant now);

    /// \param done whether the store answered
    void readEnded(bool done, instant now);

    /// \return when this node reads the store next unless it hears of another reading
    instant dueAt() const;

    /// \return before when this node does not read again because its readings failed
    instant retryAt() const { return m_retryAt; }

    /// \return whether this node is the one that reads
    bool isReader() const { return m_isReader; }

    /// \return the rank number of the node that read last, as far as known
    std::uint32_t reader() const { return m_reader; }

    /// \return the last reading of any node, if there was one
    std::optional<instant> lastRead() const { return m_lastRead; }

    /// \return the last attempt of any node that failed, if none has succeeded since
    std::optional<instant> lastFailedAttempt() const { return m_lastFailedAttempt; }

private:
    std::chrono::milliseconds rankDelay() const;
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
    instant m_attemptsIgnoredUntil; // attempts up to then were made up for by a reading
    std::uint32_t m_consecutiveAttempts = 0;
    bool m_isReadSlow = false; // the reading in progress was told as an attempt
    instant m_readStartedAt;
    instant m_retryAt;
    std::uint32_t m_failures = 0;
    std::uint32_t m_reader;
    bool m_isReader = false;
};

} // namespace oriolepick
