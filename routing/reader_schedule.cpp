#include "routing/reader_schedule.h"

#include "core/stable_hash.h"
#include "core/text.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Divisors of the bound. A read, the loss of the reader and of the next node, and the propagation fit into the
    /// bound.
    constexpr int PeriodDivisor = 8;
    constexpr int IsolatedPeriodDivisor = 3;
    constexpr int RankDelayDivisor = 4;
    constexpr int RankStepDivisor = 80; ///< a read and the propagation of its digest take a few milliseconds
    constexpr int LateRankDivisor = 2;
    constexpr int StartDelayDivisor = 4;
    constexpr int NextAttemptDivisor = 32; ///< four consecutive nodes may be rejected within half of the bound
    constexpr int MaxRetryDivisor = 4; ///< the back-off of a node that failed, a read and the propagation fit in half
    /// Failed attempts after which the store is considered unavailable; further attempts follow at the rate used
    /// after the loss of the reader.
    constexpr std::uint32_t MaxQuickAttempts = 4;
    /// Steps between two nodes while the store is considered unavailable: without a response, the nodes that follow
    /// learn of an attempt only after a while.
    constexpr std::size_t StepsPerTurn = 2;
    /// Reported attempts closer together than this are the same attempt, received over different paths.
    constexpr std::chrono::milliseconds SameAttemptWindow { 100 };
    /// Periods without a read before another node takes over. About one in twenty nodes misses a gossip wave, and
    /// hardly any misses two in a row.
    constexpr double TakeoverPeriods = 2.25;
    /// The nodes that read at their start need half of it.
    constexpr std::chrono::milliseconds MaxStartDelay { 1'000 };
    constexpr double RankNumberRange = 4'294'967'296.0; ///< number of 32-bit values
    constexpr std::uint32_t MaxDoublings = 8; ///< beyond the maximum retry delay; keeps the shift within range

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
    settings.maxRetryDelay = bound / MaxRetryDivisor;
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
    // Two nodes may both have taken over and read at nearly the same time: the node with the higher rank number
    // stops reading. So does a node that the store does not respond to.
    const bool isPreferred = reader < m_self && m_lastRead && at > *m_lastRead - m_settings.period / 2;
    const bool isAnswered = reader != m_self && m_unansweredSince && at > *m_unansweredSince;
    if (m_isReader && (isPreferred || isAnswered)) {
        m_isReader = false;
        m_reader = reader;
    }
    if (m_lastRead && at <= *m_lastRead)
        return;
    // The reported time of one read varies with the transit time of the digests.
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

void reader_schedule::markReadSlow(instant startedAt, instant now)
{
    m_unansweredSince = startedAt;
    recordFailure(startedAt, now);
}

void reader_schedule::recordFailure(instant startedAt, instant now)
{
    if (!m_lastRead || *m_lastRead <= startedAt) // otherwise the store has responded to a later read
        recordFailedAttempt(now);
    // The fewer nodes there are, the sooner this node retries, but other nodes try first.
    const auto maxDelay = std::min(m_settings.maxRetryDelay, m_settings.period * static_cast<int>(m_nodes + 1));
    const auto doublings = std::min(m_failures + (m_nodes > 1 ? 1 : 0), MaxDoublings);
    m_retryAt = now + std::min(m_settings.period * (1 << doublings), maxDelay);
    ++m_failures;
}

void reader_schedule::readEnded(bool done, instant startedAt, bool wasSlow, instant now)
{
    // Reads overlap, so this one may have been overtaken by a later read of this node or another one.
    const bool isOvertaken = m_lastRead && *m_lastRead > startedAt;
    if (!done) {
        if (isOvertaken && m_reader == m_self)
            return;
        m_isReader = false;
        if (!wasSlow)
            recordFailure(startedAt, now);
        return;
    }
    m_failures = 0;
    m_retryAt = {};
    m_unansweredSince.reset();
    if (isOvertaken)
        return;
    m_isReader = true;
    m_reader = m_self;
    m_lastRead = startedAt;
    clearFailedAttempts();
}

// While the store is considered unavailable, the order of the nodes changes with each attempt, so that a store that
// serves only some of them is found by one of these.
std::size_t reader_schedule::steps() const
{
    if (m_consecutiveAttempts <= MaxQuickAttempts)
        return m_rank;
    return StepsPerTurn * (stableHash(concatenated(m_self, "/", m_consecutiveAttempts)) % m_nodes);
}

// Beyond maxRankDelay, the nodes of a large fleet still take over one after another, in smaller steps. An isolated node
// cannot learn that another one has taken over.
std::chrono::milliseconds reader_schedule::rankDelay() const
{
    const auto delay = m_settings.rankStep * static_cast<int>(steps());
    const auto regular = std::min(delay, m_settings.maxRankDelay);
    return m_isolated ? regular : regular + (delay - regular) / LateRankDivisor;
}

instant reader_schedule::dueAt() const
{
    if (!m_lastRead && !m_lastFailedAttempt) {
        // The other nodes, and so the rank, may not be known yet.
        const auto stagger = m_settings.maxRankDelay * (m_self / RankNumberRange);
        const auto delay = std::chrono::duration_cast<instant::duration>(m_settings.startDelay + stagger);
        return std::max(m_readsAtStart ? m_startedAt : m_startedAt + delay, m_retryAt);
    }
    const auto period = m_isolated ? m_settings.isolatedPeriod : m_settings.period;
    if (m_isReader)
        return std::max(*m_lastRead + period, m_retryAt);
    // A node that receives a report of a rejected read tries next, since the store may accept its read.
    const bool retriesQuickly = m_lastFailedAttempt && m_consecutiveAttempts <= MaxQuickAttempts;
    const auto pause = retriesQuickly ? m_settings.nextAttemptDelay : m_settings.takeoverDelay;
    const auto last = m_lastFailedAttempt ? *m_lastFailedAttempt : *m_lastRead;
    return std::max(last + pause + rankDelay(), m_retryAt);
}

} // namespace oriolepick
