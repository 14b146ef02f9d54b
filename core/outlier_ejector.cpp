#include "core/outlier_ejector.h"

#include <algorithm>

namespace oriolepick {

outlier_ejector::outlier_ejector(outlier_settings settings)
    : m_settings(settings)
{
}

void outlier_ejector::addTarget(const target_id& target)
{
    m_targets.try_emplace(target);
}

void outlier_ejector::removeTarget(const target_id& target)
{
    m_targets.erase(target);
}

void outlier_ejector::recordOutcome(const target_id& target, target_outcome outcome, std::chrono::milliseconds latency)
{
    const auto position = m_targets.find(target);
    if (position == m_targets.end() || position->second.ejected)
        return;
    auto& state = position->second;
    if (outcome == target_outcome::Success) {
        ++state.successes;
        state.failuresInRow = 0;
        state.latencySum += latency;
        return;
    }
    ++state.failures;
    ++state.failuresInRow;
    state.lastFailureWasNoProgress = outcome == target_outcome::NoProgress;
}

void outlier_ejector::recordProbe(const target_id& target, bool succeeded, instant now)
{
    const auto position = m_targets.find(target);
    if (position == m_targets.end() || !position->second.ejected)
        return;
    auto& state = position->second;
    state.probesSucceeded = succeeded ? state.probesSucceeded + 1 : 0;
    state.nextProbe = now + m_settings.probeInterval;
}

std::vector<ejector_action> outlier_ejector::evaluate(instant now)
{
    std::vector<ejector_action> actions;
    if (!m_started) {
        m_started = true;
        m_windowStart = now;
    }
    reinstateExcess(actions);
    probeOrReinstate(actions, now);
    ejectFailing(actions, now);
    if (now - m_windowStart >= m_settings.window) {
        ejectSlow(actions, now);
        startWindow();
        m_windowStart = now;
    }
    return actions;
}

bool outlier_ejector::isEjected(const target_id& target) const
{
    const auto position = m_targets.find(target);
    return position != m_targets.end() && position->second.ejected;
}

std::size_t outlier_ejector::ejectedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_targets.begin(), m_targets.end(), [](const auto& target) { return target.second.ejected; }));
}

std::size_t outlier_ejector::maximumEjected() const
{
    if (m_targets.size() < 2)
        return 0;
    const auto share = static_cast<std::size_t>(m_settings.maximumEjectedShare * static_cast<double>(m_targets.size()));
    return std::min(std::max<std::size_t>(share, 1), m_targets.size() - 1);
}

// The cap shrinks when healthy targets leave the group; the longest ejected return first.
void outlier_ejector::reinstateExcess(std::vector<ejector_action>& actions)
{
    while (ejectedCount() > maximumEjected()) {
        auto oldest = m_targets.end();
        for (auto position = m_targets.begin(); position != m_targets.end(); ++position) {
            if (position->second.ejected
                && (oldest == m_targets.end() || position->second.ejectedAt < oldest->second.ejectedAt))
                oldest = position;
        }
        oldest->second.ejected = false;
        actions.push_back(reinstate_target { oldest->first });
    }
}

void outlier_ejector::probeOrReinstate(std::vector<ejector_action>& actions, instant now)
{
    for (auto& [target, state] : m_targets) {
        if (!state.ejected)
            continue;
        if (state.probesSucceeded >= m_settings.probesToReinstate) {
            const auto ejections = state.ejections;
            state = {};
            state.ejections = ejections;
            actions.push_back(reinstate_target { target });
        } else if (now >= state.nextProbe) {
            state.nextProbe = now + m_settings.probeInterval;
            actions.push_back(probe_ejected_target { target });
        }
    }
}

bool outlier_ejector::isFailing(const health& state) const
{
    if (state.failuresInRow >= m_settings.consecutiveFailures)
        return true;
    const auto samples = state.successes + state.failures;
    return samples >= m_settings.minimumSamples && state.failures > m_settings.failureShare * samples;
}

// The worst targets first, because the cap may stop before all failing ones are ejected.
void outlier_ejector::ejectFailing(std::vector<ejector_action>& actions, instant now)
{
    std::vector<std::pair<const target_id*, health*>> failing;
    for (auto& [target, state] : m_targets) {
        if (!state.ejected && isFailing(state))
            failing.emplace_back(&target, &state);
    }
    std::stable_sort(failing.begin(), failing.end(),
        [](const auto& left, const auto& right) { return left.second->failures > right.second->failures; });
    for (auto& [target, state] : failing) {
        const auto reason = state->lastFailureWasNoProgress ? ejection_reason::NoProgress : ejection_reason::Errors;
        eject(*target, *state, reason, actions, now);
    }
}

void outlier_ejector::ejectSlow(std::vector<ejector_action>& actions, instant now)
{
    std::vector<std::chrono::milliseconds> means;
    for (const auto& [target, state] : m_targets) {
        if (!state.ejected && state.successes >= m_settings.minimumSamples)
            means.push_back(state.latencySum / state.successes);
    }
    // A median of fewer than three targets can be the slow target itself.
    if (means.size() < 3)
        return;
    // Lower median: with an even count the upper one may already belong to a slow half.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    const auto limit = std::max<double>(static_cast<double>(middle->count()) * m_settings.slowFactor,
        static_cast<double>(m_settings.slowLatencyFloor.count()));
    for (auto& [target, state] : m_targets) {
        if (!state.ejected && state.successes >= m_settings.minimumSamples
            && static_cast<double>((state.latencySum / state.successes).count()) > limit)
            eject(target, state, ejection_reason::Slow, actions, now);
    }
}

void outlier_ejector::eject(
    const target_id& target, health& state, ejection_reason reason, std::vector<ejector_action>& actions, instant now)
{
    if (ejectedCount() >= maximumEjected())
        return;
    const auto ejections = state.ejections;
    state = {};
    state.ejected = true;
    state.ejections = ejections + 1;
    state.ejectedAt = now;
    constexpr std::uint32_t MaxDoublings = 10;
    const auto doublings = std::min(ejections, MaxDoublings);
    state.nextProbe = now + std::min(m_settings.baseEjectionTime * (1 << doublings), m_settings.maximumEjectionTime);
    actions.push_back(eject_target { target, reason });
}

void outlier_ejector::startWindow()
{
    for (auto& [target, state] : m_targets) {
        if (state.ejected)
            continue;
        if (!state.failures && state.successes)
            state.ejections = 0;
        state.successes = 0;
        state.failures = 0;
        state.latencySum = std::chrono::milliseconds { 0 };
    }
}

} // namespace oriolepick
