#include "core/resume_policy.h"

namespace oriolepick {

namespace {

    using std::chrono::milliseconds;

    // Time without progress after which the waiting policy treats a target as hung although it still runs the attempt.
    // The prefill of the longest prompts blocks a batch for seconds, but for less than ten.
    constexpr milliseconds HangTimeout { 10'000 };
    constexpr milliseconds ProbeRecheckDelay { 300 }; // longer than the node's probe timeout
    constexpr milliseconds FastProbeRecheckDelay { 20 }; // several round trips between zones
    constexpr std::uint32_t ProbesBeforeAbandon = 2; // so that a pause of half a second causes no repeated work

} // namespace

latency_first_policy::latency_first_policy()
{
    m_rules.stall.deviations = 6;
    m_rules.stall.prefillFactor = 1.5;
    m_rules.stall.prefillSlack = milliseconds(300);
    m_rules.attachTimeout = milliseconds(150);
    m_rules.acceptTimeout = milliseconds(150);
    m_rules.maxFirstTokenEstimate = milliseconds(600); // so that a full target is replaced before 3 s have passed
    m_rules.placementRetryDelay = milliseconds(50);
}

stall_decision latency_first_policy::decide(const stall_observation& stall) const
{
    const auto longest = m_rules.stall.longestGap;
    if (stall.hedgeRunning)
        return { stall_action::Wait, milliseconds(250) };
    if (stall.otherStreamsProgress && !stall.reportedLost && stall.timeSinceProgress < longest)
        return { stall_action::Wait, milliseconds(100) };
    // An engine that answers the probe immediately is busy, not dead: most gaps above 250 ms are long batch steps.
    if (stall.probeAlive == true && stall.timeSinceProgress < longest)
        return { stall_action::Wait, milliseconds(100) };
    if (!stall.probed && !stall.reportedLost)
        return { stall_action::Probe, FastProbeRecheckDelay };
    return { stall_action::Hedge, milliseconds(250) };
}

waiting_policy::waiting_policy()
{
    m_rules.stall.shortestGap = milliseconds(500);
    m_rules.stall.deviations = 10;
    m_rules.preferCached = true;
    m_rules.attachTimeout = milliseconds(500);
    m_rules.placementRetryDelay = milliseconds(200);
}

stall_decision waiting_policy::decide(const stall_observation& stall) const
{
    if (stall.hedgeRunning)
        return { stall_action::Wait, ProbeRecheckDelay };
    if (stall.probeAlive == true)
        return { stall.timeSinceProgress < HangTimeout ? stall_action::Wait : stall_action::Hedge,
            2 * ProbeRecheckDelay };
    if (stall.otherStreamsProgress && !stall.reportedLost && stall.timeSinceProgress < HangTimeout)
        return { stall_action::Wait, ProbeRecheckDelay };
    // A probe without a result at the next check counts as "not alive".
    const bool unanswered = stall.probed || stall.probeAlive == false;
    if (unanswered && (stall.reportedLost || stall.failedProbes >= ProbesBeforeAbandon))
        return { stall_action::Abandon, ProbeRecheckDelay };
    return { stall_action::Probe, ProbeRecheckDelay };
}

restart_policy::restart_policy()
{
    m_rules.attachFirst = false;
    m_rules.keepPrefix = false;
}

stall_decision restart_policy::decide(const stall_observation& stall) const
{
    const bool keepWaiting = stall.otherStreamsProgress;
    return { keepWaiting ? stall_action::Wait : stall_action::Abandon, milliseconds(250) };
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

stall_decision fixed_timeout_policy::decide(const stall_observation& /*stall*/) const
{
    return { stall_action::Abandon, milliseconds(250) };
}

duplicate_policy::duplicate_policy()
{
    m_rules.attachFirst = false;
    m_rules.duplicate = true;
}

stall_decision duplicate_policy::decide(const stall_observation& stall) const
{
    return { stall.otherStreamsProgress ? stall_action::Wait : stall_action::Abandon, milliseconds(250) };
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
