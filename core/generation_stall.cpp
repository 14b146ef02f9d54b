#include "core/generation.h"
#include "core/resume_policy.h"

#include <algorithm>

namespace oriolepick {

void generation::on(const probe_answered& event, instant now)
{
    const auto check = std::find(m_crashProbes.begin(), m_crashProbes.end(), event.target);
    if (check != m_crashProbes.end()) {
        m_crashProbes.erase(check);
        if (!event.notSent && (!event.alive || !event.hasAttempt))
            emit(report_crash { event.target });
        return;
    }
    if (m_state != generation_state::Suspect || !m_current || m_current->target != event.target || !m_stall.probed)
        return;
    if (event.notSent) {
        // The policy decides at the next check, as if it had asked for no probe.
        m_stall.probed = false;
        --m_stall.failedProbes;
        return;
    }
    if (event.alive && !event.hasAttempt) {
        // The process is alive but does not have the attempt, so it was restarted.
        failCurrentTarget(true, now);
        return;
    }
    m_stall.probeAlive = event.alive;
    if (event.alive)
        m_stall.failedProbes = 0;
    m_stall.probeHasAttempt = event.hasAttempt;
    applyPolicy(now);
    // Each probe result is used for one decision; the policy requests another probe if needed.
    m_stall.probed = event.alive ? false : m_stall.probed;
    m_stall.probeAlive.reset();
    m_stall.probeHasAttempt.reset();
}

void generation::on(const timer_fired& /*event*/, instant now)
{
    if (ended() || m_state == generation_state::Queued)
        return;
    m_armedTimer.reset();
    if (m_handOverAt && *m_handOverAt <= now) {
        handOver(dispatched() ? error_kind::HandedOver : error_kind::NodeDraining);
        return;
    }
    checkSecond(now);
    checkCurrent(now);
}

void generation::on(const target_lost& event, instant now)
{
    if (ended())
        return;
    for (auto* attempt : { m_current ? &*m_current : nullptr, m_second ? &*m_second : nullptr }) {
        if (attempt && attempt->target == event.target)
            attempt->reportedLost = true;
    }
    if (m_state == generation_state::Suspect)
        m_stall.recheckAt = now;
    checkCurrent(now);
}

void generation::checkCurrent(instant now)
{
    if (!m_current)
        return;
    switch (m_current->phase) {
    case attempt_phase::Waiting:
        if (m_current->due <= now)
            requestTarget(*m_current);
        break;
    case attempt_phase::Choosing:
        break;
    case attempt_phase::Attaching:
        if (m_current->due <= now) {
            m_current->due = now + rules().attachTimeout;
            replaceSilentCurrent(now);
        }
        break;
    case attempt_phase::Starting:
    case attempt_phase::Running:
        if (m_state == generation_state::Suspect) {
            if (m_stall.recheckAt <= now)
                applyPolicy(now);
        } else if (suspectAt(*m_current) <= now) {
            increment(generation_counter::Suspicion);
            m_state = generation_state::Suspect;
            m_stall = {};
            applyPolicy(now);
        }
        break;
    }
}

void generation::checkSecond(instant now)
{
    if (!m_second)
        return;
    if (m_second->phase == attempt_phase::Waiting) {
        if (m_second->due <= now)
            requestTarget(*m_second);
        return;
    }
    if (!m_second->onTarget() || rules().duplicate || std::max(suspectAt(*m_second), m_second->due) > now)
        return;
    const auto pace = m_paces.paceOf(m_second->target);
    const bool patient = now - m_second->detector.lastProgress() < rules().stall.longestGap;
    if (patient && m_second->accepted && m_second->detector.otherStreamsProgress(pace, now)) {
        // The target is busy, not dead; a third attempt would only add load.
        m_second->due = now + rules().stall.prefillSlack / 2;
        return;
    }
    m_avoidedTargets.push_back(m_second->target);
    retire(m_second, true);
    m_stall.recheckAt = now;
}

void generation::applyPolicy(instant now)
{
    const auto pace = m_paces.paceOf(m_current->target);
    stall_observation stall;
    stall.timeSinceProgress
        = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_current->detector.lastProgress());
    stall.round = m_stall.round++;
    stall.otherStreamsProgress = m_current->detector.otherStreamsProgress(pace, now);
    stall.reportedLost = m_current->reportedLost;
    stall.probed = m_stall.probed;
    stall.failedProbes = m_stall.failedProbes;
    stall.probeAlive = m_stall.probeAlive;
    stall.probeHasAttempt = m_stall.probeHasAttempt;
    stall.hedgeRunning = m_second.has_value();
    const auto decision = m_policy.decide(stall);
    m_stall.recheckAt = now + decision.recheckAfter;
    switch (decision.action) {
    case stall_action::Wait:
        break;
    case stall_action::Probe:
        m_stall.probed = true;
        ++m_stall.failedProbes;
        emit(probe_target { m_current->id, m_current->target });
        break;
    case stall_action::Hedge:
        if (!m_second)
            placeSecond(attempt_purpose::Hedge, now);
        break;
    case stall_action::Abandon:
        replaceSilentCurrent(now);
        break;
    }
}

instant generation::suspectAt(const attempt_record& attempt) const
{
    const auto pace = m_paces.paceOf(attempt.target);
    auto usual = attempt.detector.suspectAt(pace);
    if (attempt.phase == attempt_phase::Starting)
        usual = std::min(usual, attempt.detector.lastProgress() + rules().acceptTimeout);
    return attempt.reportedLost ? std::min(usual, attempt.detector.nextTokenExpectedAt(pace)) : usual;
}

std::optional<instant> generation::nextDue() const
{
    if (ended() || m_state == generation_state::Queued)
        return std::nullopt;
    std::optional<instant> due = m_request.deadline;
    const auto include = [&due](instant at) { due = due ? std::min(*due, at) : at; };
    if (m_handOverAt)
        include(*m_handOverAt);
    for (const auto* attempt : { &m_current, &m_second }) {
        if (!*attempt)
            continue;
        const auto& record = **attempt;
        if (record.phase == attempt_phase::Waiting || record.phase == attempt_phase::Attaching)
            include(record.due);
        else if (attempt == &m_second && record.onTarget() && !rules().duplicate)
            include(std::max(suspectAt(record), record.due));
        else if (attempt == &m_current && record.onTarget())
            include(m_state == generation_state::Suspect ? m_stall.recheckAt : suspectAt(record));
    }
    return due;
}

void generation::armTimer()
{
    // A timer that fires too early is armed again at that time, so tokens that only postpone it emit no action.
    const auto due = nextDue();
    if (!due || (m_armedTimer && *m_armedTimer <= *due))
        return;
    m_armedTimer = due;
    emit(set_timer { *due });
}

} // namespace oriolepick
