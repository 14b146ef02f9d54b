/// \file
/// One call of a method that is declared repeatable, which makes it idempotent: it is retried on other targets until
/// one responds, and nothing is stored about it.
#pragma once

#include "core/call_row.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolepick {

/// Chooses a target other than the excluded ones.
struct choose_repeat_target {
    std::vector<target_id> excluded;
};
/// Sends attempt \c ordinal to the target.
struct send_repeat {
    std::uint32_t ordinal = 0;
    target_id target;
};
/// Sends the final response to the caller.
struct answer_repeat {
    call_reply reply;
};

using repeat_action = std::variant<choose_repeat_target, send_repeat, answer_repeat>;
using repeat_actions = std::vector<repeat_action>;

/// State machine of one idempotent call. Each event returns the next action, or none.
class repeatable_call {
public:
    /// \param maxAttempts maximum number of attempts that may have reached a target; attempts that were provably not
    /// sent are limited only by the deadline \param retryAfter default for errors that carry no delay of their own
    repeatable_call(instant deadline, std::uint32_t maxAttempts, std::chrono::milliseconds retryAfter);

    repeat_actions start();
    repeat_actions targetChosen(instant now, const target_id& target);
    repeat_actions noTarget(std::chrono::milliseconds retryAfter);
    repeat_actions attemptUnsent(std::uint32_t ordinal); ///< no byte of the attempt was sent

    /// The attempt was sent and its response was lost.
    /// \param retryAllowed whether the retry budget permits another attempt
    repeat_actions attemptBroken(std::uint32_t ordinal, bool retryAllowed);

    repeat_actions attemptAnswered(std::uint32_t ordinal, call_answer answer);
    repeat_actions timerFired(instant now); ///< due at the deadline

    bool finished() const { return m_step == step::Finished; }
    instant deadline() const { return m_deadline; }

private:
    enum class step { Idle, Placing, Sent, Finished };

    repeat_actions place();
    repeat_actions fail(error cause);
    repeat_actions end(call_reply reply);

    instant m_deadline;
    std::uint32_t m_maxAttempts;
    std::chrono::milliseconds m_retryAfter;
    step m_step = step::Idle;
    std::uint32_t m_ordinal = 0;
    std::uint32_t m_reached = 0; ///< attempts that may have reached a target
    target_id m_target;
    std::vector<target_id> m_tried;
};

} // namespace oriolepick
