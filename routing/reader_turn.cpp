#include "routing/reader_turn.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Parts of the bound: a reading, the loss of its node and of the next one, and the spreading fit into it.
    constexpr int PeriodPart = 8;
    constexpr int LonelyPeriodPart = 3;
    constexpr int RankDelayPart = 4;
    constexpr int RankStepPart = 80; ///< a reading and the news of it take a few milliseconds
    constexpr int StartDelayPart = 4;
    /// Periods without news before another node reads: one in twenty nodes misses a wave, hardly any two in a row.
    constexpr double TakeoverPeriods = 2.25;
    constexpr std::chrono::milliseconds LongestStartDelay { 1'000 }; ///< the nodes that read first need half of it
    constexpr double AllNumbers = 4'294'967'296.0; ///< of 32 bits
    constexpr std::uint32_t MaxDoublings = 8; ///< far beyond the longest retry

} // namespace

reader_turn_settings makeReaderTurnSettings(std::chrono::milliseconds bound)
{
    reader_turn_settings settings;
    settings.period = bound / PeriodPart;
    settings.lonelyPeriod = bound / LonelyPeriodPart;
    settings.takeover = std::chrono::duration_cast<std::chrono::milliseconds>(settings.period * TakeoverPeriods);
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
    // Two nodes may both have taken over, and read at nearly the same moments: the one with the greater number leaves
    // it to the other.
    if (m_isReader && reader < m_self && m_lastReading && at > *m_lastReading - m_settings.period / 2) {
        m_isReader = false;
        m_reader = reader;
    }
    if (m_lastReading && at <= *m_lastReading)
        return;
    m_lastReading = at;
    if (!m_isReader)
        m_reader = reader;
}

void reader_turn::heardAttempt(instant at)
{
    if (!m_lastAttempt || at > *m_lastAttempt)
        m_lastAttempt = at;
}

void reader_turn::readingStarted(instant now)
{
    m_readingStartedAt = now;
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
        return;
    }
    m_isReader = false;
    heardAttempt(now);
    // The fewer nodes there are to try, the sooner this one tries again.
    const auto longest = std::min(m_settings.longestRetry, m_settings.period * static_cast<int>(m_nodes + 1));
    m_retryAt = now + std::min(m_settings.period * (1 << std::min(m_failures, MaxDoublings)), longest);
    ++m_failures;
}

std::chrono::milliseconds reader_turn::rankDelay() const
{
    return std::min(m_settings.rankStep * static_cast<int>(m_rank), m_settings.longestRankDelay);
}

instant reader_turn::dueAt() const
{
    if (!m_lastReading && !m_lastAttempt) {
        // The others may not be known yet, and so no rank.
        const auto inLine = m_settings.longestRankDelay * (m_self / AllNumbers);
        const auto delay = std::chrono::duration_cast<instant::duration>(m_settings.startDelay + inLine);
        return std::max(m_readsFirst ? m_startedAt : m_startedAt + delay, m_retryAt);
    }
    const auto period = m_lonely ? m_settings.lonelyPeriod : m_settings.period;
    const auto last = std::max(m_lastReading.value_or(instant::min()), m_lastAttempt.value_or(instant::min()));
    const auto due = m_isReader ? *m_lastReading + period : last + m_settings.takeover + rankDelay();
    return std::max(due, m_retryAt);
}

} // namespace oriolepick
