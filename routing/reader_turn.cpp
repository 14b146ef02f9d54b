#include "routing/reader_turn.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Divisors of the bound. A read, the loss of the reader and of the next node, and the propagation fit into the
    /// bound.
    constexpr int PeriodPart = 8;
    constexpr int LonelyPeriodPart = 3;
    constexpr int RankDelayPart = 4;
    constexpr int RankStepPart = 80; ///< a read and the propagation of its digest take a few milliseconds
    constexpr int StartDelayPart = 4;
    constexpr int NextAttemptPart = 32; ///< four consecutive nodes may be rejected within half of the bound
    /// Failed attempts after which the store is considered unavailable; further attempts follow at the rate used
    /// after the loss of the reader.
    constexpr std::uint32_t QuickAttempts = 4;
    /// Reported attempts closer together than this are the same attempt, received over different paths.
    constexpr std::chrono::milliseconds SameAttempt { 100 };
    /// Periods without a read before another node takes over. About one in twenty nodes misses a gossip wave, and
    /// hardly any misses two in a row.
    constexpr double TakeoverPeriods = 2.25;
    /// The nodes that read at their start need half of it.
    constexpr std::chrono::milliseconds LongestStartDelay { 1'000 };
    constexpr double AllNumbers = 4'294'967'296.0; ///< number of 32-bit values
    constexpr std::uint32_t MaxDoublings = 8; ///< beyond the maximum retry delay; keeps the shift within range

} // namespace

reader_turn_settings makeReaderTurnSettings(std::chrono::milliseconds bound)
{
    reader_turn_settings settings;
    settings.period = bound / PeriodPart;
    settings.lonelyPeriod = bound / LonelyPeriodPart;
    settings.takeover = std::chrono::duration_cast<std::chrono::milliseconds>(settings.period * TakeoverPeriods);
    settings.nextAttempt = bound / NextAttemptPart;
    settings.rankStep = bound / RankStepPart;
    settings.longestRankDelay = bound / RankDelayPart;
    settings.startDelay = std::min(bound / StartDelayPart, LongestStartDelay);
    settings.longestRetry = bound;
    return settings;
}

reader_turn::reader_turn(const reader_turn_settings& settings, std::uint32_t self, bool readsFirst, instant startedAt)
    : m_settings(settings)
    , m_self(self)
    , m_readsFirst(readsFirst)
    , m_startedAt(startedAt)
    , m_reader(self)
{
}

void reader_turn::setRank(std::size_t rank, std::size_t nodes)
{
    m_rank = rank;
    m_nodes = nodes;
}

void reader_turn::heardReading(instant at, std::uint32_t reader)
{
    // Two nodes may both have taken over and read at nearly the same time: the node with the higher rank number
    // stops reading.
    if (m_isReader && reader < m_self && m_lastReading && at > *m_lastReading - m_settings.period / 2) {
        m_isReader = false;
        m_reader = reader;
    }
    if (m_lastReading && at <= *m_lastReading)
        return;
    // The reported time of one read varies with the transit time of the digests.
    if (!m_lastReading || at > *m_lastReading + m_settings.period / 2)
        forgetAttempts();
    m_lastReading = at;
    if (!m_isReader)
        m_reader = reader;
}

void reader_turn::forgetAttempts()
{
    if (m_lastAttempt)
        m_voidUntil = std::max(m_voidUntil, *m_lastAttempt + SameAttempt);
    m_lastAttempt.reset();
    m_attemptsInRow = 0;
}

bool reader_turn::heardAttempt(instant at)
{
    if (at <= m_voidUntil || (m_lastAttempt && at <= *m_lastAttempt + SameAttempt))
        return false;
    m_lastAttempt = at;
    ++m_attemptsInRow;
    return true;
}

void reader_turn::readingIsSlow(instant now)
{
    m_isSlow = true;
    heardAttempt(now);
}

void reader_turn::readingStarted(instant now)
{
    m_readingStartedAt = now;
    m_isSlow = false;
}

void reader_turn::readingEnded(bool done, instant now)
{
    if (done) {
        m_failures = 0;
        m_retryAt = {};
        m_isReader = true;
        m_reader = m_self;
        if (!m_lastReading || m_readingStartedAt > *m_lastReading)
            m_lastReading = m_readingStartedAt;
        forgetAttempts();
        return;
    }
    m_isReader = false;
    const bool othersRead = m_lastReading && *m_lastReading > m_readingStartedAt;
    if (!m_isSlow && !othersRead)
        heardAttempt(now);
    // The fewer nodes there are, the sooner this node retries, but other nodes try first.
    const auto longest = std::min(m_settings.longestRetry, m_settings.period * static_cast<int>(m_nodes + 1));
    const auto doublings = std::min(m_failures + (m_nodes > 1 ? 1 : 0), MaxDoublings);
    m_retryAt = now + std::min(m_settings.period * (1 << doublings), longest);
    ++m_failures;
}

std::chrono::milliseconds reader_turn::rankDelay() const
{
    return std::min(m_settings.rankStep * static_cast<int>(m_rank), m_settings.longestRankDelay);
}

instant reader_turn::dueAt() const
{
    if (!m_lastReading && !m_lastAttempt) {
        // The other nodes, and so the rank, may not be known yet.
        const auto inLine = m_settings.longestRankDelay * (m_self / AllNumbers);
        const auto delay = std::chrono::duration_cast<instant::duration>(m_settings.startDelay + inLine);
        return std::max(m_readsFirst ? m_startedAt : m_startedAt + delay, m_retryAt);
    }
    const auto period = m_lonely ? m_settings.lonelyPeriod : m_settings.period;
    if (m_isReader)
        return std::max(*m_lastReading + period, m_retryAt);
    // A node that receives a report of a rejected read tries next, since the store may accept its read.
    const bool isQuick = m_lastAttempt && m_attemptsInRow <= QuickAttempts;
    const auto pause = isQuick ? m_settings.nextAttempt : m_settings.takeover;
    const auto last = m_lastAttempt ? *m_lastAttempt : *m_lastReading;
    return std::max(last + pause + rankDelay(), m_retryAt);
}

} // namespace oriolepick
