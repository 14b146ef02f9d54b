#include "core/idempotent_call.h"

#include <utility>

namespace oriolepick {

idempotent_call::idempotent_call(instant deadline, std::uint32_t maxAttempts, std::chrono::milliseconds retryAfter)
    : m_deadline(deadline)
    , m_maxAttempts(maxAttempts)
    , m_retryAfter(retryAfter)
{
}

idempotent_call_actions idempotent_call::start()
{
    if (m_step != step::Idle)
        return {};
    return requestTarget();
}

idempotent_call_actions idempotent_call::targetChosen(instant now, const target_id& target)
{
    if (m_step != step::Placing)
        return {};
    if (now >= m_deadline)
        return timerFired(now);
    m_step = step::Sent;
    m_target = target;
    ++m_possibleDispatches;
    return { send_idempotent_attempt { ++m_ordinal, target } };
}

idempotent_call_actions idempotent_call::noTarget(std::chrono::milliseconds retryAfter)
{
    if (m_step != step::Placing)
        return {};
    if (m_possibleDispatches)
        return fail({ error_kind::TargetFailed, "the target failed and no other can take the call", retryAfter });
    return fail({ error_kind::NoTarget, "no target can take the call", retryAfter });
}

idempotent_call_actions idempotent_call::attemptNotSent(std::uint32_t ordinal)
{
    if (m_step != step::Sent || ordinal != m_ordinal)
        return {};
    --m_possibleDispatches;
    m_tried.push_back(m_target);
    return requestTarget();
}

idempotent_call_actions idempotent_call::attemptBroken(std::uint32_t ordinal, bool retryAllowed)
{
    if (m_step != step::Sent || ordinal != m_ordinal)
        return {};
    m_tried.push_back(m_target);
    if (!retryAllowed || m_possibleDispatches >= m_maxAttempts)
        return fail({ error_kind::TargetFailed, "the target failed", m_retryAfter });
    return requestTarget();
}

idempotent_call_actions idempotent_call::attemptAnswered(std::uint32_t ordinal, call_answer answer)
{
    if (m_step != step::Sent || ordinal != m_ordinal)
        return {};
    return end(std::move(answer));
}

idempotent_call_actions idempotent_call::timerFired(instant now)
{
    if (m_step == step::Finished || now < m_deadline)
        return {};
    if (m_possibleDispatches)
        return fail({ error_kind::DeadlineExceeded, "the deadline passed during the call", m_retryAfter });
    return fail({ error_kind::QueueTimeout, "the deadline passed before the dispatch", m_retryAfter });
}

idempotent_call_actions idempotent_call::requestTarget()
{
    m_step = step::Placing;
    return { choose_idempotent_call_target { m_tried } };
}

idempotent_call_actions idempotent_call::fail(error cause)
{
    return end(std::move(cause));
}

// GCC 12 reports a false maybe-uninitialized when it inlines the move of a result that holds an error.
[[gnu::noinline]] idempotent_call_actions idempotent_call::end(call_reply reply)
{
    m_step = step::Finished;
    idempotent_call_actions actions;
    actions.emplace_back(complete_idempotent_call { std::move(reply) });
    return actions;
}

} // namespace oriolepick
