#include "core/response_wait.h"

namespace oriolepick {

namespace {

    /// A check that runs later than this shows that the process was busy or not scheduled.
    constexpr std::chrono::milliseconds MaxCheckDelay { 20 };
    /// Delay of a check that is put off: a free event loop reads pending input within it.
    constexpr std::chrono::milliseconds DeferralTime { 20 };
    /// Bounds how long input that is never read can put off the result.
    constexpr std::uint32_t MaxDeferrals = 50;

} // namespace

response_wait::response_wait(std::chrono::milliseconds limit, instant now)
    : m_limit(limit)
    , m_due(now + limit)
{
}

void response_wait::restart(instant now)
{
    m_due = now + m_limit;
    m_deferrals = 0;
}

bool response_wait::isUnresponsive(instant now, bool inputPending)
{
    if (now < m_due)
        return false;
    // After a late check the peer gets a moment in which this process watches; a process that is always late must still
    // reach a result, so this happens once.
    const bool firstLateCheck = !m_deferrals && now - m_due > MaxCheckDelay;
    if ((!inputPending && !firstLateCheck) || m_deferrals >= MaxDeferrals)
        return true;
    ++m_deferrals;
    m_due = now + DeferralTime;
    return false;
}

} // namespace oriolepick
