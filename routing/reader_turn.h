/// \file
/// When this node reads the platform's store on behalf of all nodes.
#pragma once

#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// Times of reader_turn; makeReaderTurnSettings derives them from how late news may be.
struct reader_turn_settings {
    std::chrono::milliseconds period { 500 }; ///< between two readings of the node that reads
    std::chrono::milliseconds lonelyPeriod { 1'300 }; ///< the same of a node that is cut off from the others
    std::chrono::milliseconds takeover { 1'125 }; ///< without news for this long, the next node reads
    std::chrono::milliseconds nextAttempt { 125 }; ///< after a reading in vain, before the next node tries
    std::chrono::milliseconds rankStep { 50 }; ///< between the first nodes in line, so that one reads and not all
    std::chrono::milliseconds longestRankDelay { 1'000 }; ///< of the last node in line
    std::chrono::milliseconds startDelay { 600 }; ///< a node that starts waits this long for news of others
    std::chrono::milliseconds longestRetry { 4'000 }; ///< between readings that fail; doubled up to it
};

/// \param bound how late any news may be at any node
/// \return times by which two readers in a row may be lost within \p bound
reader_turn_settings makeReaderTurnSettings(std::chrono::milliseconds bound);

/// The node that read last goes on reading. The others hear of each reading and take over in the order of their ranks
/// when they hear of none, so that nobody has to be elected and a store that is away is not asked by all.
/// Not synchronized.
class reader_turn {
public:
    /// \param self rank number of this node, different on each node
    /// \param readsFirst whether this node reads at once when it starts, instead of waiting for news of others
    reader_turn(const reader_turn_settings& settings, std::uint32_t self, bool readsFirst, instant startedAt);

    /// Sets this node's place among the nodes that are believed alive.
    /// \param rank nodes before this one
    /// \param nodes all of them, this one included
    void setRank(std::size_t rank, std::size_t nodes);

    /// Sets whether nothing is heard of the other nodes: this one then reads for itself alone, and less often.
    void setLonely(bool lonely) { m_lonely = lonely; }

    /// Some node read the store successfully at \p at.
    /// \param reader its rank number
    void heardReading(instant at, std::uint32_t reader);

    /// Some node asked the store in vain at \p at.
    /// \return whether that is news: no reading is known since, and no other attempt at about that time
    bool heardAttempt(instant at);

    /// This node has asked the store.
    void readingStarted(instant now);

    /// The reading in progress takes long: others need not wait for its end.
    void readingIsSlow(instant now);

    /// \param done whether the store answered
    void readingEnded(bool done, instant now);

    /// \return when this node reads the store next unless it hears of another reading
    instant dueAt() const;

    /// \return before when this node does not read again because its readings failed
    instant retryAt() const { return m_retryAt; }

    /// \return whether this node is the one that reads
    bool isReader() const { return m_isReader; }

    /// \return the rank number of the node that read last, as far as known
    std::uint32_t reader() const { return m_reader; }

    /// \return the last reading of any node, if there was one
    std::optional<instant> lastReading() const { return m_lastReading; }

    /// \return the last attempt of any node that failed, if none has succeeded since
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
    instant m_voidUntil; // attempts up to then were made up for by a reading
    std::uint32_t m_attemptsInRow = 0;
    bool m_isSlow = false; // the reading in progress was told as an attempt
    instant m_readingStartedAt;
    instant m_retryAt;
    std::uint32_t m_failures = 0;
    std::uint32_t m_reader;
    bool m_isReader = false;
};

} // namespace oriolepick
