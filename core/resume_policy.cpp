#include "core/resume_policy.h"

namespace oriolepick {

namespace {

    using std::chrono::milliseconds;

    // A stream that its target still runs is left alone this long under the waiting policy before the target counts as
    // hung: a prefill of the longest prompts blocks a batch for seconds, but not for ten.
    constexpr milliseconds HangTimeout { 10'000 };
    constexpr milliseconds ProbeRecheckDelay { 300 }; // longer than the node's own timeout of a probe
    constexpr milliseconds FastProbeRecheckDelay { 20 }; // several round trips between zones
    constexpr std::uint32_t ProbesBeforeAbandon = 2; // a pause of half a second passes without repeated work

} // namespace

latency_first_policy::latency_first_policy()
{
    m_rules.stall.deviations = 6;
    m_rules.stall.prefillFactor = 1.5;
    m_rules.stall.prefillSlack = milliseconds(300);
    m_rules.attachTimeout = milliseconds(150);
    m_rules.acceptTimeout = milliseconds(150);
    m_rules.maxFirstTokenEstimate = milliseconds(600); // a full target is left for another one before 3 s have passed
    m_rules.placementRetryDelay = milliseconds(50);
}

stall_decision latency_first_policy::decide(const stall_observation& stall) const
{
    const auto longest = m_rules.stall.longestGap;
    if (stall.hedgeRunning)
        return { stall_action::Wait, milliseconds(250) };
    if (stall.otherStreamsProgress && !stall.reportedLost && stall.timeSinceProgress < longest)
        return { stall_action::Wait, milliseconds(100) };
    // An engine that answers at once is busy, not dead: most gaps above 250 ms are long steps of a batch.
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
    // A probe without any answer by the next look counts as answered with "not alive".
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
