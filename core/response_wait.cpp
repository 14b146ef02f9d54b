#include "core/response_wait.h"

namespace oriolepick {

namespace {

    /// A check that runs later than this shows that the process was busy or not scheduled.
    constexpr std::chrono::milliseconds MaxCheckDelay { 20 };
    /// Delay of a check that is put off: a free event loop reads pending input within it.
    constexpr std::chrono::milliseconds DeferralTime { 20 };
    /// Input that the process does not read within this time after the first check puts off the result no longer.
    constexpr std::chrono::seconds MaxDeferral { 1 };

} // namespace

response_wait::response_wait(std::chrono::milliseconds limit, instant now)
    : m_limit(limit)
    , m_due(now + limit)
{
}

void response_wait::restart(instant now)
{
    m_due = now + m_limit;
    m_deferredSince.reset();
}

bool response_wait::isUnresponsive(instant now, bool inputPending)
{
    if (now < m_due)
        return false;
    // After a late check the peer gets a moment in which this process watches; a process that is always late must still
    // reach a result, so this happens once.
    const bool putOff = m_deferredSince ? inputPending && now < *m_deferredSince + MaxDeferral
                                        : inputPending || now - m_due > MaxCheckDelay;
    if (!putOff)
        return true;
    m_deferredSince = m_deferredSince.value_or(now);
    m_due = now + DeferralTime;
    return false;
}

} // namespace oriolepick
