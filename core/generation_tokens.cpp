#include "core/generation.h"
#include "core/resume_policy.h"
#include "core/stable_hash.h"

#include <algorithm>

namespace oriolepick {

bool generation::inOrder(attempt_record& attempt, const token_arrived& event)
{
    if (event.position < attempt.nextPosition) {
        increment(generation_counter::RepeatedToken);
        return false;
    }
    if (event.position > attempt.nextPosition) {
        increment(generation_counter::TokenGap);
        ++m_usage.extraOutput;
        return false;
    }
    return true;
}

void generation::handleCurrentToken(const token_arrived& event, instant now)
{
    auto& attempt = *m_current;
    if (!inOrder(attempt, event)) {
        if (event.position > attempt.nextPosition)
            handleCurrentBroken(break_reason::Truncated, now);
        return;
    }
    attempt.phase = attempt_phase::Running;
    attempt.accepted = true;
    ++attempt.nextPosition;
    attempt.detector.tokenArrived(now);
    if (m_state == generation_state::Suspect)
        endSuspicion();
    if (!attempt.unverified) {
        deliver(event.value, now);
        return;
    }
    attempt.buffered.push_back(event.value);
    ++m_usage.extraOutput;
    if (attempt.nextPosition >= m_position)
        verifyCurrent(now);
}

void generation::endSuspicion()
{
    increment(generation_counter::FalseSuspicion);
    m_state = m_interrupted ? generation_state::Resuming : generation_state::Streaming;
    m_stall = {};
    if (m_second && (m_second->replacesFirst || !rules().duplicate))
        retire(m_second, true);
}

void generation::handleSecondToken(const token_arrived& event, instant now)
{
    auto& attempt = *m_second;
    if (!inOrder(attempt, event)) {
        if (event.position > attempt.nextPosition)
            handleSecondBroken(break_reason::Truncated);
        return;
    }
    attempt.phase = attempt_phase::Running;
    attempt.accepted = true;
    ++attempt.nextPosition;
    attempt.detector.tokenArrived(now);
    if (attempt.unverified) {
        attempt.buffered.push_back(event.value);
        ++m_usage.extraOutput;
        if (!isCurrentStalled() || attempt.nextPosition <= m_position)
            return;
        if (!matchesDelivered(attempt)) {
            increment(generation_counter::DigestMismatch);
            retire(m_second, true);
            return;
        }
    }
    const bool wasUnverified = attempt.unverified;
    increment(generation_counter::HedgeWon);
    m_interrupted = true;
    retire(m_current, true);
    promoteSecond(now);
    if (!wasUnverified && !ended())
        deliver(event.value, now);
}

bool generation::isCurrentStalled() const
{
    return m_state == generation_state::Suspect || m_state == generation_state::Resuming;
}

void generation::handleSecondDone(finish_reason reason, instant now)
{
    auto& attempt = *m_second;
    if (attempt.unverified) {
        // The end of a duplicate attempt is kept until the first attempt stalls or breaks.
        attempt.pendingFinish = reason;
        if (!isCurrentStalled())
            return;
        if (!matchesDelivered(attempt)) {
            increment(generation_counter::DigestMismatch);
            retire(m_second, false);
            return;
        }
    }
    const bool wasUnverified = attempt.unverified;
    increment(generation_counter::HedgeWon);
    retire(m_current, true);
    promoteSecond(now);
    if (!wasUnverified)
        finish(reason, now);
}

void generation::dropLateToken(const attempt_id& id)
{
    increment(generation_counter::OldAttemptToken);
    const auto past = std::find_if(m_retiredAttempts.begin(), m_retiredAttempts.end(),
        [&id](const retired_attempt& entry) { return entry.id == id; });
    if (past == m_retiredAttempts.end())
        return;
    ++m_usage.extraOutput;
    // The first cancel may have been lost, for example because the engine was paused.
    if (!std::exchange(past->cancelRepeated, true))
        emit(cancel_attempt { past->id, past->target });
}

bool generation::matchesDelivered(const attempt_record& attempt) const
{
    if (attempt.buffered.size() < m_position)
        return false;
    std::uint64_t digest = 0;
    for (std::uint32_t index = 0; index < m_position; ++index)
        digest = extendDigest(digest, attempt.buffered[index].id);
    return digest == m_digest;
}

void generation::verifyCurrent(instant now)
{
    auto& attempt = *m_current;
    if (!matchesDelivered(attempt)) {
        increment(generation_counter::DigestMismatch);
        retire(m_current, true);
        if (m_second)
            promoteSecond(now);
        else
            failWith(error_kind::GenerationLost, {});
        return;
    }
    attempt.unverified = false;
    const auto buffered = std::move(attempt.buffered);
    attempt.buffered.clear();
    if (m_firstKnownPosition > 0) {
        m_tokens.clear();
        for (std::uint32_t index = 0; index < m_position; ++index)
            m_tokens.push_back(buffered[index].id);
        m_firstKnownPosition = 0;
    }
    for (std::size_t index = m_position; index < buffered.size() && !ended(); ++index) {
        --m_usage.extraOutput;
        deliver(buffered[index], now);
    }
    if (!ended() && attempt.pendingFinish)
        finish(*attempt.pendingFinish, now);
}

void generation::deliver(const token& value, instant now)
{
    m_digest = extendDigest(m_digest, value.id);
    m_tokens.push_back(value.id);
    emit(deliver_token { m_position, value, m_digest });
    ++m_position;
    ++m_usage.delivered;
    if (m_attaches > 0 && m_state == generation_state::Resuming)
        increment(generation_counter::AttachWorked);
    m_attaches = 0;
    if (m_interrupted)
        increment(generation_counter::Resumed);
    m_interrupted = false;
    m_stall = {};
    m_state = generation_state::Streaming;
    if (m_second && (m_second->replacesFirst || !rules().duplicate))
        retire(m_second, true);
    if (m_position >= m_request.maxTokens)
        finish(finish_reason::Length, now);
}

} // namespace oriolepick
