#include "core/generation.h"
#include "core/resume_admission.h"
#include "core/resume_policy.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

void generation::startFromResumePoint(const resume_point& resume, instant now)
{
    m_position = resume.position;
    m_digest = resume.digest;
    m_firstKnownPosition = resume.position;
    const auto& received = resume.receivedTokens;
    if (received && received->size() == resume.position && digestOf(*received) == resume.digest) {
        m_tokens = *received;
        m_firstKnownPosition = 0;
    }
    if (m_position >= m_request.maxTokens) {
        finish(finish_reason::Length, now);
        return;
    }
    m_state = generation_state::Resuming;
    m_interrupted = true;
    m_interruptedAt = now;
    if (!rules().attachFirst || resume.target.empty()) {
        placeCurrent(now);
        return;
    }
    m_current.emplace(rules().stall);
    m_current->id = resume.attempt;
    m_current->target = resume.target;
    m_current->purpose = attempt_purpose::Continue;
    m_current->detector.attemptStarted(now, {});
    attach(now);
}

attempt_record generation::makeAttempt(attempt_purpose purpose)
{
    attempt_record attempt(rules().stall);
    attempt.id = attempt_id { m_request.attemptOrigin, m_nextOrdinal++ };
    attempt.purpose = purpose;
    const bool duplicate = rules().duplicate && purpose == attempt_purpose::Start;
    const bool fromPrompt = duplicate || m_firstKnownPosition > 0 || !rules().keepPrefix;
    attempt.nextPosition = fromPrompt ? 0 : m_position;
    attempt.unverified = fromPrompt && (m_position > 0 || (duplicate && m_current));
    return attempt;
}

attempt_purpose generation::nextAttemptPurpose() const
{
    if (!dispatched())
        return attempt_purpose::Start;
    return m_firstKnownPosition > 0 || !rules().keepPrefix ? attempt_purpose::Replay : attempt_purpose::Continue;
}

void generation::placeCurrent(instant now)
{
    if (dispatched())
        m_state = generation_state::Resuming;
    m_stall = {};
    auto attempt = makeAttempt(nextAttemptPurpose());
    if (!admit(attempt, false, now)) {
        failUnplaced({});
        return;
    }
    m_current = std::move(attempt);
    if (m_current->phase == attempt_phase::Choosing)
        requestTarget(*m_current);
}

void generation::placeSecond(attempt_purpose purpose, instant now)
{
    auto attempt = makeAttempt(purpose);
    // The duplicate attempt of the benchmark baseline is not a retry.
    if (purpose != attempt_purpose::Start && !admit(attempt, true, now))
        return;
    if (purpose == attempt_purpose::Hedge)
        increment(generation_counter::Hedge);
    m_second = std::move(attempt);
    if (m_second->phase == attempt_phase::Choosing)
        requestTarget(*m_second);
}

// Silence does not show that a target has ended, so its attempt goes on until another target takes over.
void generation::replaceSilentCurrent(instant now)
{
    if (m_second && !m_second->replacesFirst) {
        failCurrentTarget(false, now);
        return;
    }
    if (m_second)
        return;
    auto attempt = makeAttempt(nextAttemptPurpose());
    if (!admit(attempt, false, now))
        return;
    attempt.replacesFirst = true;
    m_second = std::move(attempt);
    if (m_second->phase == attempt_phase::Choosing)
        requestTarget(*m_second);
}

void generation::startReplacement(const target_chosen& event, instant now)
{
    m_avoidedTargets.push_back(m_current->target);
    replaceCurrent(true, now);
    if (ended())
        return;
    m_current->replacesFirst = false;
    startOnTarget(*m_current, event, now);
}

void generation::waitForTarget(attempt_record& attempt, instant now)
{
    // Targets that were full or silent may serve the request at the next try.
    m_avoidedTargets.clear();
    attempt.phase = attempt_phase::Waiting;
    attempt.due = now + rules().placementRetryDelay;
}

bool generation::admit(attempt_record& attempt, bool hedge, instant now)
{
    const resume_request request { m_request.key.team, m_request.targetGroup, m_request.maxTokens - m_position, hedge,
        m_request.callerRetry };
    const auto startAt = m_admission.admit(request, now);
    if (!startAt) {
        increment(generation_counter::RetryDenied);
        return false;
    }
    attempt.phase = *startAt > now ? attempt_phase::Waiting : attempt_phase::Choosing;
    attempt.due = *startAt;
    return true;
}

void generation::requestTarget(attempt_record& attempt)
{
    attempt.phase = attempt_phase::Choosing;
    choose_target request { attempt.id, attempt.purpose, m_excluded, attempt.nextPosition, rules().preferCached,
        m_interrupted || attempt.purpose == attempt_purpose::Hedge || attempt.replacesFirst };
    request.excluded.insert(request.excluded.end(), m_avoidedTargets.begin(), m_avoidedTargets.end());
    for (const auto* other : { &m_current, &m_second }) {
        if (*other && (*other)->id != attempt.id && !(*other)->target.empty())
            request.excluded.push_back((*other)->target);
    }
    emit(std::move(request));
}

void generation::startOnTarget(attempt_record& attempt, const target_chosen& event, instant now)
{
    attempt.target = event.target;
    attempt.phase = attempt_phase::Starting;
    attempt.due = now;
    const bool callerWaits = m_interrupted || attempt.purpose == attempt_purpose::Hedge;
    attempt.detector.attemptStarted(now,
        m_interrupted ? std::min(event.expectedFirstToken, rules().maxFirstTokenEstimate) : event.expectedFirstToken);
    if (m_unprovenDispatches++ > 0) {
        attempt.extraPrefill = m_request.promptTokens + attempt.nextPosition;
        m_usage.extraPrefill += attempt.extraPrefill;
    }
    start_attempt action { attempt.id, attempt.target, {}, callerWaits };
    if (attempt.nextPosition > 0)
        action.prefix = m_tokens;
    emit(std::move(action));
}

void generation::recordNotRun(const attempt_record& attempt)
{
    --m_unprovenDispatches;
    m_usage.extraPrefill -= attempt.extraPrefill;
}

void generation::attach(instant now)
{
    ++m_attaches;
    m_state = generation_state::Resuming;
    m_stall = {};
    if (!m_current->unverified)
        m_current->nextPosition = m_position;
    m_current->phase = attempt_phase::Attaching;
    m_current->due = now + rules().attachTimeout;
    increment(generation_counter::Attach);
    emit(attach_attempt { m_current->id, m_current->target, m_current->nextPosition });
}

void generation::retire(std::optional<attempt_record>& attempt, bool cancel)
{
    if (!attempt)
        return;
    if (attempt->onTarget()) {
        m_retiredAttempts.push_back({ attempt->id, attempt->target });
        if (cancel)
            emit(cancel_attempt { attempt->id, attempt->target });
    }
    attempt.reset();
}

void generation::promoteSecond(instant now)
{
    m_current = std::move(m_second);
    m_second.reset();
    m_state = generation_state::Resuming;
    m_stall = {};
    if (m_current->unverified && m_current->nextPosition >= m_position)
        verifyCurrent(now);
}

void generation::replaceCurrent(bool cancel, instant now)
{
    if (!std::exchange(m_interrupted, true))
        m_interruptedAt = now;
    retire(m_current, cancel);
    if (m_second)
        promoteSecond(now);
    else
        placeCurrent(now);
}

void generation::failCurrentTarget(bool crashed, instant now)
{
    m_excluded.push_back(m_current->target);
    if (crashed) {
        emit(report_crash { m_current->target });
        if (++m_crashes >= rules().maxLostTargets) {
            retire(m_current, false);
            failWith(error_kind::TargetFailed, {});
            return;
        }
    }
    replaceCurrent(!crashed, now);
}

void generation::handleCurrentRejected(const attempt_rejected& event, instant now)
{
    const bool wasStarting = m_current->phase == attempt_phase::Starting;
    const bool wasOnTarget = m_current->onTarget();
    if (wasOnTarget && !wasStarting) {
        // Only the rejection of a start proves that the attempt did not run.
        failCurrentTarget(false, now);
        return;
    }
    if (wasStarting) {
        recordNotRun(*m_current);
        auto& list = event.reason == reject_reason::QueueFull ? m_avoidedTargets : m_excluded;
        list.push_back(m_current->target);
    }
    m_current.reset();
    if (m_second) {
        promoteSecond(now);
    } else if (++m_rejections >= rules().maxRejections) {
        failUnplaced(event.retryAfter);
    } else {
        placeCurrent(now);
    }
}

void generation::handleCurrentBroken(break_reason reason, instant now)
{
    const auto phase = m_current->phase;
    if (reason == break_reason::Superseded) {
        increment(generation_counter::Superseded);
        handOver(error_kind::Cancelled);
        return;
    }
    if (reason == break_reason::Refused && phase == attempt_phase::Starting) {
        handleCurrentRejected({ m_current->id, reject_reason::NotSent, {} }, now);
        return;
    }
    if (!std::exchange(m_interrupted, true))
        m_interruptedAt = now;
    if (reason == break_reason::Refused || reason == break_reason::UnknownAttempt) {
        // An engine that no longer has an accepted attempt within the attach time was restarted. An attempt that was
        // never confirmed to this node (a lost start, or an attempt from a cursor) may also have been lost or have
        // expired.
        failCurrentTarget(reason == break_reason::Refused || m_current->accepted, now);
        return;
    }
    if (rules().attachFirst && m_attaches < rules().maxAttaches)
        attach(now);
    else
        failCurrentTarget(false, now);
}

void generation::handleSecondBroken(break_reason reason)
{
    const auto target = m_second->target;
    const bool refused = reason == break_reason::Refused;
    m_excluded.push_back(target);
    if (refused && m_second->phase == attempt_phase::Starting) {
        recordNotRun(*m_second);
    } else {
        m_crashProbes.push_back(target);
        emit(probe_target { m_second->id, target });
    }
    retire(m_second, !refused);
}

void generation::handleCurrentUnplaced(const no_target& event, instant now)
{
    if (event.reason == no_target_reason::Quarantined) {
        failWith(error_kind::RequestCrashesTargets, {});
    } else if (!dispatched()) {
        failWith(error_kind::NoTarget, event.retryAfter);
    } else if (event.reason == no_target_reason::VersionGone) {
        failWith(error_kind::GenerationLost, {});
    } else if (m_second) {
        m_current.reset();
        promoteSecond(now);
    } else if (now - m_interruptedAt >= rules().resumePlacementTimeout) {
        failWith(error_kind::TargetFailed, event.retryAfter);
    } else {
        waitForTarget(*m_current, now);
    }
}

} // namespace oriolepick
