#include "core/resume_policy.h"

namespace oriolepick {

namespace {

    using std::chrono::milliseconds;

    // Time without progress after which the waiting policy treats a target as hung although it still runs the attempt.
    // The prefill of the longest prompts blocks a batch for seconds, but for less than ten.
    constexpr milliseconds HungAfter { 10'000 };
    constexpr milliseconds ProbeWait { 300 }; // longer than the node's probe timeout
    constexpr milliseconds QuickProbeWait { 20 }; // several round trips between zones
    constexpr std::uint32_t ProbesBeforeAbandon = 2; // so that a pause of half a second causes no repeated work

} // namespace

latency_first_policy::latency_first_policy()
{
    m_rules.stall.deviations = 6;
    m_rules.stall.prefillFactor = 1.5;
    m_rules.stall.prefillSlack = milliseconds(300);
    m_rules.attachTimeout = milliseconds(150);
    m_rules.acceptTimeout = milliseconds(150);
    m_rules.longestResume = milliseconds(600); // so that a full target is replaced before 3 s have passed
    m_rules.retryPause = milliseconds(50);
}

stall_decision latency_first_policy::decide(const suspicion& stall) const
{
    const auto longest = m_rules.stall.longestGap;
    if (stall.hedged)
        return { stall_step::Wait, milliseconds(250) };
    if (stall.othersProgress && !stall.reportedLost && stall.silence < longest)
        return { stall_step::Wait, milliseconds(100) };
    // An engine that answers the probe immediately is busy, not dead: most gaps above 250 ms are long batch steps.
    if (stall.probeAlive == true && stall.silence < longest)
        return { stall_step::Wait, milliseconds(100) };
    if (!stall.probed && !stall.reportedLost)
        return { stall_step::Probe, QuickProbeWait };
    return { stall_step::Hedge, milliseconds(250) };
}

waiting_policy::waiting_policy()
{
    m_rules.stall.shortestGap = milliseconds(500);
    m_rules.stall.deviations = 10;
    m_rules.preferCached = true;
    m_rules.attachTimeout = milliseconds(500);
    m_rules.retryPause = milliseconds(200);
}

stall_decision waiting_policy::decide(const suspicion& stall) const
{
    if (stall.hedged)
        return { stall_step::Wait, ProbeWait };
    if (stall.probeAlive == true)
        return { stall.silence < HungAfter ? stall_step::Wait : stall_step::Hedge, 2 * ProbeWait };
    if (stall.othersProgress && !stall.reportedLost && stall.silence < HungAfter)
        return { stall_step::Wait, ProbeWait };
    // A probe without a result at the next check counts as "not alive".
    const bool unanswered = stall.probed || stall.probeAlive == false;
    if (unanswered && (stall.reportedLost || stall.failedProbes >= ProbesBeforeAbandon))
        return { stall_step::Abandon, ProbeWait };
    return { stall_step::Probe, ProbeWait };
}

restart_policy::restart_policy()
{
    m_rules.attachFirst = false;
    m_rules.keepPrefix = false;
}

stall_decision restart_policy::decide(const suspicion& stall) const
{
    const bool keepWaiting = stall.othersProgress;
    return { keepWaiting ? stall_step::Wait : stall_step::Abandon, milliseconds(250) };
}

fixed_timeout_policy::fixed_timeout_policy()
{
    constexpr std::chrono::seconds Timeout { 5 };
    m_rules.stall.shortestGap = Timeout;
    m_rules.stall.longestGap = Timeout;
    m_rules.stall.prefillSlack = Timeout;
    m_rules.acceptTimeout = Timeout;
    m_rules.attachFirst = false;
}

stall_decision fixed_timeout_policy::decide(const suspicion& /*stall*/) const
{
    return { stall_step::Abandon, milliseconds(250) };
}

duplicate_policy::duplicate_policy()
{
    m_rules.attachFirst = false;
    m_rules.duplicate = true;
}

stall_decision duplicate_policy::decide(const suspicion& stall) const
{
    return { stall.othersProgress ? stall_step::Wait : stall_step::Abandon, milliseconds(250) };
}

std::unique_ptr<resume_policy> makeResumePolicy(std::string_view name)
{
    if (name == "latency_first")
        return std::make_unique<latency_first_policy>();
    if (name == "waiting")
        return std::make_unique<waiting_policy>();
    return nullptr;
}

} // namespace oriolepick
