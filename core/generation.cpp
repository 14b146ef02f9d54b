#include "core/generation.h"

#include "core/resume_admission.h"
#include "core/resume_policy.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds DefaultRetryAfter { 1000 };

} // namespace

std::string_view toString(generation_state state)
{
    switch (state) {
    case generation_state::Queued:
        return "queued";
    case generation_state::Placing:
        return "placing";
    case generation_state::Streaming:
        return "streaming";
    case generation_state::Suspect:
        return "suspect";
    case generation_state::Resuming:
        return "resuming";
    case generation_state::HandedOver:
        return "handed_over";
    case generation_state::Finished:
        return "finished";
    case generation_state::Refused:
        break;
    }
    return "refused";
}

generation::generation(generation_request request, const resume_policy& policy, resume_admission& admission,
    const target_pace_source& paces)
    : m_request(std::move(request))
    , m_policy(policy)
    , m_admission(admission)
    , m_paces(paces)
{
    // A cursor proves that an attempt ran before, and an earlier delivery of a retried request may have been
    // dispatched, so neither may be reported as "not run".
    if (m_request.resume || m_request.callerRetry)
        m_unprovenDispatches = 1;
}

generation_actions generation::start(instant now)
{
    if (m_state != generation_state::Queued)
        return {};
    if (m_request.deadline && *m_request.deadline <= now) {
        expire();
    } else if (m_draining) {
        handOver(dispatched() ? error_kind::HandedOver : error_kind::NodeDraining);
    } else if (m_request.resume) {
        startFromResumePoint(*m_request.resume, now);
    } else {
        m_state = generation_state::Placing;
        m_current = makeAttempt(attempt_purpose::Start);
        requestTarget(*m_current);
        if (rules().duplicate)
            placeSecond(attempt_purpose::Start, now);
    }
    return takeActions();
}

generation_actions generation::handle(const generation_event& event, instant now)
{
    // Nothing may start after the deadline, even if the timer fires late.
    if (!ended() && m_state != generation_state::Queued && m_request.deadline && *m_request.deadline <= now)
        expire();
    std::visit([this, now](const auto& typed) { on(typed, now); }, event);
    return takeActions();
}

void generation::on(const target_chosen& event, instant now)
{
    auto* attempt = find(event.attempt);
    if (!attempt || attempt->phase != attempt_phase::Choosing)
        return;
    if (event.model != m_request.model) {
        increment(generation_counter::WrongVersion);
        m_excluded.push_back(event.target);
        on(attempt_rejected { event.attempt, reject_reason::NotLoaded, {} }, now);
        return;
    }
    const bool isSecond = m_second && attempt == &*m_second;
    if (isSecond && m_current && m_current->target == event.target) {
        // A second attempt on the suspected target would stall as well.
        if (std::exchange(attempt->choiceRetried, true))
            m_second.reset();
        else
            requestTarget(*attempt);
        return;
    }
    if (isSecond && attempt->replacesFirst)
        startReplacement(event, now);
    else
        startOnTarget(*attempt, event, now);
}

void generation::on(const no_target& event, instant now)
{
    auto* attempt = find(event.attempt);
    if (!attempt || attempt->phase != attempt_phase::Choosing)
        return;
    if (m_second && attempt == &*m_second) {
        if (m_second->replacesFirst)
            waitForTarget(*m_second, now);
        else
            m_second.reset();
        return;
    }
    handleCurrentUnplaced(event, now);
}

void generation::on(const attempt_accepted& event, instant now)
{
    auto* attempt = find(event.attempt);
    if (!attempt)
        return;
    if (attempt->phase == attempt_phase::Attaching)
        attempt->detector.reattached(now);
    if (attempt->onTarget()) {
        attempt->phase = attempt_phase::Running;
        attempt->accepted = true;
    }
}

void generation::on(const attempt_rejected& event, instant now)
{
    auto* attempt = find(event.attempt);
    if (!attempt || attempt->phase == attempt_phase::Waiting)
        return;
    if (m_second && attempt == &*m_second) {
        if (attempt->phase == attempt_phase::Starting) {
            recordNotRun(*attempt);
            m_excluded.push_back(attempt->target);
            m_second.reset();
        }
        retire(m_second, true);
        return;
    }
    handleCurrentRejected(event, now);
}

void generation::on(const token_arrived& event, instant now)
{
    if (ended()) {
        dropLateToken(event.attempt);
        return;
    }
    auto* attempt = find(event.attempt);
    if (!attempt || !attempt->onTarget())
        dropLateToken(event.attempt);
    else if (m_second && attempt == &*m_second)
        handleSecondToken(event, now);
    else
        handleCurrentToken(event, now);
}

void generation::on(const attempt_done& event, instant now)
{
    auto* attempt = find(event.attempt);
    if (!attempt || !attempt->onTarget())
        return;
    if (event.length != attempt->nextPosition) {
        // Tokens are missing, so the stream is treated as truncated.
        on(attempt_broken { event.attempt, break_reason::Truncated }, now);
        return;
    }
    if (m_second && attempt == &*m_second) {
        handleSecondDone(event.reason, now);
        return;
    }
    if (m_current->unverified) {
        increment(generation_counter::DigestMismatch);
        retire(m_current, false);
        failWith(error_kind::GenerationLost, {});
        return;
    }
    finish(event.reason, now);
}

void generation::on(const attempt_broken& event, instant now)
{
    auto* attempt = find(event.attempt);
    if (!attempt || !attempt->onTarget())
        return;
    if (m_second && attempt == &*m_second)
        handleSecondBroken(event.reason);
    else
        handleCurrentBroken(event.reason, now);
}

void generation::on(const caller_gone& /*event*/, instant /*now*/)
{
    if (!ended())
        failWith(error_kind::Cancelled, {});
}

void generation::on(const drain_requested& event, instant now)
{
    if (ended())
        return;
    m_draining = true;
    if (event.handOverAfter.count() > 0)
        m_handOverAt = now + event.handOverAfter;
}

attempt_id generation::currentAttempt() const
{
    return m_current ? m_current->id : attempt_id {};
}

target_id generation::currentTarget() const
{
    return m_current ? m_current->target : target_id {};
}

const token_list* generation::deliveredTokens() const
{
    return m_firstKnownPosition == 0 ? &m_tokens : nullptr;
}

void generation::expire()
{
    failWith(dispatched() ? error_kind::DeadlineExceeded : error_kind::QueueTimeout, {});
}

void generation::handOver(error_kind kind)
{
    // The attempt is not cancelled: the caller's next node attaches to it and continues reading.
    retire(m_current, false);
    retire(m_second, true);
    emit(fail { kind, {} });
    m_state = kind == error_kind::NodeDraining ? generation_state::Refused : generation_state::HandedOver;
}

void generation::finish(finish_reason reason, instant now)
{
    retire(m_current, false);
    retire(m_second, true);
    m_admission.recordSuccess(m_request.key.team, m_request.targetGroup, now);
    emit(complete { reason });
    m_state = generation_state::Finished;
}

void generation::failWith(error_kind kind, std::chrono::milliseconds retryAfter)
{
    const bool ran = dispatched();
    retire(m_current, true);
    retire(m_second, true);
    if (errorResponseFor(kind).retryable && retryAfter.count() == 0)
        retryAfter = DefaultRetryAfter;
    emit(fail { kind, retryAfter });
    m_state = ran ? generation_state::Finished : generation_state::Refused;
}

void generation::failUnplaced(std::chrono::milliseconds retryAfter)
{
    failWith(dispatched() ? error_kind::TargetFailed : error_kind::Overloaded, retryAfter);
}

attempt_record* generation::find(const attempt_id& id)
{
    if (m_current && m_current->id == id)
        return &*m_current;
    if (m_second && m_second->id == id)
        return &*m_second;
    return nullptr;
}

generation_actions generation::takeActions()
{
    armTimer();
    return std::exchange(m_pendingActions, {});
}

const resume_rules& generation::rules() const
{
    return m_policy.rules();
}

} // namespace oriolepick
