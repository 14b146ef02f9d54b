/// \file
/// One call of a method that is declared repeatable: tried on further targets until one answers, without any record.
#pragma once

#include "core/call_row.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolepick {

/// Choose a target other than the excluded ones.
struct choose_idempotent_call_target {
    std::vector<target_id> excluded;
};
/// Send attempt \c ordinal to the target.
struct send_idempotent_attempt {
    std::uint32_t ordinal = 0;
    target_id target;
};
/// The one response to the caller.
struct complete_idempotent_call {
    call_reply reply;
};

using idempotent_call_action
    = std::variant<choose_idempotent_call_target, send_idempotent_attempt, complete_idempotent_call>;
using idempotent_call_actions = std::vector<idempotent_call_action>;

/// The state machine of one repeatable call. Each event returns the next action, or nothing.
class idempotent_call {
public:
    /// \param maxAttempts dispatches that may reach a target; provably unsent ones are limited by the deadline
    /// \param retryAfter told with errors that leave it open
    idempotent_call(instant deadline, std::uint32_t maxAttempts, std::chrono::milliseconds retryAfter);

    idempotent_call_actions start();
    idempotent_call_actions targetChosen(instant now, const target_id& target);
    idempotent_call_actions noTarget(std::chrono::milliseconds retryAfter);
    idempotent_call_actions attemptNotSent(std::uint32_t ordinal); ///< no byte left this node

    /// The attempt was sent and its answer lost.
    /// \param retryAllowed whether the retry budget permits another attempt
    idempotent_call_actions attemptBroken(std::uint32_t ordinal, bool retryAllowed);

    idempotent_call_actions attemptAnswered(std::uint32_t ordinal, call_answer answer);
    idempotent_call_actions timerFired(instant now); ///< due at the deadline

    bool finished() const { return m_step == step::Finished; }
    instant deadline() const { return m_deadline; }

private:
    enum class step { Idle, Placing, Sent, Finished };

    idempotent_call_actions requestTarget();
    idempotent_call_actions fail(error cause);
    idempotent_call_actions end(call_reply reply);

    instant m_deadline;
    std::uint32_t m_maxAttempts;
    std::chrono::milliseconds m_retryAfter;
    step m_step = step::Idle;
    std::uint32_t m_ordinal = 0;
    std::uint32_t m_possibleDispatches = 0; ///< attempts that may have reached a target
    target_id m_target;
    std::vector<target_id> m_tried;
};

} // namespace oriolepick
