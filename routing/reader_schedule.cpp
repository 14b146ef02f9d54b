#include "routing/reader_schedule.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Parts of the bound: a reading, the loss of its node and of the next one, and the spreading fit into it.
    constexpr int PeriodDivisor = 8;
    constexpr int IsolatedPeriodDivisor = 3;
    constexpr int RankDelayDivisor = 4;
    constexpr int RankStepDivisor = 80; ///< a reading and the news of it take a few milliseconds
    constexpr int StartDelayDivisor = 4;
    constexpr int NextAttemptDivisor = 32; ///< four nodes in a row may be turned away within half of the bound
    /// Attempts in vain after which the store is taken to be away: the next ones follow as slowly as after a loss.
    constexpr std::uint32_t MaxQuickAttempts = 4;
    /// Attempts that are told nearer to each other are one, told by different ways.
    constexpr std::chrono::milliseconds SameAttemptWindow { 100 };
    /// Periods without news before another node reads: one in twenty nodes misses a wave, hardly any two in a row.
    constexpr double TakeoverPeriods = 2.25;
    constexpr std::chrono::milliseconds MaxStartDelay { 1'000 }; ///< the nodes that read first need half of it
    constexpr double RankNumberRange = 4'294'967'296.0; ///< of 32 bits
    constexpr std::uint32_t MaxDoublings = 8; ///< far beyond the longest retry

} // namespace

reader_schedule_settings makeReaderScheduleSettings(std::chrono::milliseconds bound)
{
    reader_schedule_settings settings;
    settings.period = bound / PeriodDivisor;
    settings.isolatedPeriod = bound / IsolatedPeriodDivisor;
    settings.takeoverDelay = std::chrono::duration_cast<std::chrono::milliseconds>(settings.period * TakeoverPeriods);
    settings.nextAttemptDelay = bound / NextAttemptDivisor;
    settings.rankStep = bound / RankStepDivisor;
    settings.maxRankDelay = bound / RankDelayDivisor;
    settings.startDelay = std::min(bound / StartDelayDivisor, MaxStartDelay);
    settings.maxRetryDelay = bound;
    return settings;
}

reader_schedule::reader_schedule(
    const reader_schedule_settings& settings, std::uint32_t self, bool readsAtStart, instant startedAt)
    : m_settings(settings)
    , m_self(self)
    , m_readsAtStart(readsAtStart)
    , m_startedAt(startedAt)
    , m_reader(self)
{
}

void reader_schedule::setRank(std::size_t rank, std::size_t nodes)
{
    m_rank = rank;
    m_nodes = nodes;
}

void reader_schedule::recordRead(instant at, std::uint32_t reader)
{
    // Two nodes may both have taken over, and read at nearly the same moments: the one with the greater number leaves
    // it to the other.
    if (m_isReader && reader < m_self && m_lastRead && at > *m_lastRead - m_settings.period / 2) {
        m_isReader = false;
        m_reader = reader;
    }
    if (m_lastRead && at <= *m_lastRead)
        return;
    // What is told of one reading varies by the time that it was on its way.
    if (!m_lastRead || at > *m_lastRead + m_settings.period / 2)
        clearFailedAttempts();
    m_lastRead = at;
    if (!m_isReader)
        m_reader = reader;
}

void reader_schedule::clearFailedAttempts()
{
    if (m_lastFailedAttempt)
        m_attemptsIgnoredUntil = std::max(m_attemptsIgnoredUntil, *m_lastFailedAttempt + SameAttemptWindow);
    m_lastFailedAttempt.reset();
    m_consecutiveAttempts = 0;
}

bool reader_schedule::recordFailedAttempt(instant at)
{
    if (at <= m_attemptsIgnoredUntil || (m_lastFailedAttempt && at <= *m_lastFailedAttempt + SameAttemptWindow))
        return false;
    m_lastFailedAttempt = at;
    ++m_consecutiveAttempts;
    return true;
}

void reader_schedule::markReadSlow(instant now)
{
    m_isReadSlow = true;
    recordFailedAttempt(now);
}

void reader_schedule::readStarted(instant now)
{
    m_readStartedAt = now;
    m_isReadSlow = false;
}

void reader_schedule::readEnded(bool done, instant now)
{
    if (done) {
        m_failures = 0;
        m_retryAt = {};
        m_isReader = true;
        m_reader = m_self;
        if (!m_lastRead || m_readStartedAt > *m_lastRead)
            m_lastRead = m_readStartedAt;
        clearFailedAttempts();
        return;
    }
    m_isReader = false;
    const bool otherNodeReadSince = m_lastRead && *m_lastRead > m_readStartedAt;
    if (!m_isReadSlow && !otherNodeReadSince)
        recordFailedAttempt(now);
    // The fewer nodes there are to try, the sooner this one tries again, but others first.
    const auto maxDelay = std::min(m_settings.maxRetryDelay, m_settings.period * static_cast<int>(m_nodes + 1));
    const auto doublings = std::min(m_failures + (m_nodes > 1 ? 1 : 0), MaxDoublings);
    m_retryAt = now + std::min(m_settings.period * (1 << doublings), maxDelay);
    ++m_failures;
}

std::chrono::milliseconds reader_schedule::rankDelay() const
{
    return std::min(m_settings.rankStep * static_cast<int>(m_rank), m_settings.maxRankDelay);
}

instant reader_schedule::dueAt() const
{
    if (!m_lastRead && !m_lastFailedAttempt) {
        // The others may not be known yet, and so no rank.
        const auto stagger = m_settings.maxRankDelay * (m_self / RankNumberRange);
        const auto delay = std::chrono::duration_cast<instant::duration>(m_settings.startDelay + stagger);
        return std::max(m_readsAtStart ? m_startedAt : m_startedAt + delay, m_retryAt);
    }
    const auto period = m_isolated ? m_settings.isolatedPeriod : m_settings.period;
    if (m_isReader)
        return std::max(*m_lastRead + period, m_retryAt);
    // Who hears that a node was turned away tries next: it may be served.
    const bool retriesQuickly = m_lastFailedAttempt && m_consecutiveAttempts <= MaxQuickAttempts;
    const auto pause = retriesQuickly ? m_settings.nextAttemptDelay : m_settings.takeoverDelay;
    const auto last = m_lastFailedAttempt ? *m_lastFailedAttempt : *m_lastRead;
    return std::max(last + pause + rankDelay(), m_retryAt);
}

} // namespace oriolepick
