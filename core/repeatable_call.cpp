#include "core/repeatable_call.h"

#include <utility>

namespace oriolepick {

repeatable_call::repeatable_call(instant deadline, std::uint32_t maxAttempts, std::chrono::milliseconds retryAfter)
    : m_deadline(deadline)
    , m_maxAttempts(maxAttempts)
    , m_retryAfter(retryAfter)
{
}

repeat_actions repeatable_call::start()
{
    if (m_step != step::Idle)
        return {};
    return place();
}

repeat_actions repeatable_call::targetChosen(instant now, const target_id& target)
{
    if (m_step != step::Placing)
        return {};
    if (now >= m_deadline)
        return timerFired(now);
    m_step = step::Sent;
    m_target = target;
    ++m_reached;
    return { send_repeat { ++m_ordinal, target } };
}

repeat_actions repeatable_call::noTarget(std::chrono::milliseconds retryAfter)
{
    if (m_step != step::Placing)
        return {};
    if (m_reached)
        return fail({ error_kind::TargetFailed, "the target failed and no other can take the call", retryAfter });
    return fail({ error_kind::NoTarget, "no target can take the call", retryAfter });
}

repeat_actions repeatable_call::attemptUnsent(std::uint32_t ordinal)
{
    if (m_step != step::Sent || ordinal != m_ordinal)
        return {};
    --m_reached;
    m_tried.push_back(m_target);
    return place();
}

repeat_actions repeatable_call::attemptBroken(std::uint32_t ordinal, bool retryAllowed)
{
    if (m_step != step::Sent || ordinal != m_ordinal)
        return {};
    m_tried.push_back(m_target);
    if (!retryAllowed || m_reached >= m_maxAttempts)
        return fail({ error_kind::TargetFailed, "the target failed", m_retryAfter });
    return place();
}

repeat_actions repeatable_call::attemptAnswered(std::uint32_t ordinal, call_answer answer)
{
    if (m_step != step::Sent || ordinal != m_ordinal)
        return {};
    return end(std::move(answer));
}

repeat_actions repeatable_call::timerFired(instant now)
{
    if (m_step == step::Finished || now < m_deadline)
        return {};
    if (m_reached)
        return fail({ error_kind::DeadlineExceeded, "the deadline passed during the call", m_retryAfter });
    return fail({ error_kind::QueueTimeout, "the deadline passed before the dispatch", m_retryAfter });
}

repeat_actions repeatable_call::place()
{
    m_step = step::Placing;
    return { choose_repeat_target { m_tried } };
}

repeat_actions repeatable_call::fail(error cause)
{
    return end(std::move(cause));
}

// Not inlined: GCC 12 reports a false maybe-uninitialized when it inlines the move of a result that holds an error.
[[gnu::noinline]] repeat_actions repeatable_call::end(call_reply reply)
{
    m_step = step::Finished;
    repeat_actions actions;
    actions.emplace_back(answer_repeat { std::move(reply) });
    return actions;
}

} // namespace oriolepick
