/// \file
/// What can happen to a streamed generation: the input events of its state machine.
#pragma once

#include "core/names.h"
#include "core/token.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace oriolepick {

/// Why an engine ended a response.
enum class finish_reason {
    Stop, ///< The model ended the response.
    Length, ///< The response reached its maximum number of tokens.
};

/// Why no target could be chosen.
enum class no_target_reason {
    NoneAvailable, ///< No live target with room has the model now.
    VersionGone, ///< No target has this model, version and adapter any more.
    Quarantined, ///< The request crashed too many targets.
};

/// Why a target rejected an attempt. All of them prove that the attempt did not run.
enum class reject_reason {
    QueueFull, ///< 429
    Draining, ///< 503: the target is leaving
    NotLoaded, ///< 409: the target has another model, version or adapter
    NotSent, ///< no byte of the request was sent
};

/// Why the stream of an attempt ended early.
enum class break_reason {
    Reset, ///< the connection was lost
    Truncated, ///< the response ended without its end event
    Refused, ///< the target refused the connection: its process is not there
    UnknownAttempt, ///< the target answered an attach with "unknown" (404)
    Superseded, ///< a reader with a higher epoch attached to the attempt
};

/// Answer to choose_target.
struct target_chosen {
    attempt_id attempt;
    target_id target;
    model_ref model; ///< what the target reports as loaded
    std::chrono::milliseconds expectedFirstToken { 0 }; ///< estimated queueing and prefill time, 0 when not known
};

/// Answer to choose_target when there is none.
struct no_target {
    attempt_id attempt;
    no_target_reason reason = no_target_reason::NoneAvailable;
    std::chrono::milliseconds retryAfter { 0 };
};

/// The target took the attempt, or the attach: its response headers arrived, long before the first token.
struct attempt_accepted {
    attempt_id attempt;
};

/// The target provably did not run the attempt.
struct attempt_rejected {
    attempt_id attempt;
    reject_reason reason = reject_reason::QueueFull;
    std::chrono::milliseconds retryAfter { 0 };
};

/// One token of an attempt. Positions count from 0 over the whole response.
struct token_arrived {
    attempt_id attempt;
    std::uint32_t position = 0;
    token value;
};

/// The engine ended the response.
struct attempt_done {
    attempt_id attempt;
    finish_reason reason = finish_reason::Stop;
    std::uint32_t length = 0; ///< tokens of the whole response, including any prefix
};

/// The stream of an attempt ended early.
struct attempt_broken {
    attempt_id attempt;
    break_reason reason = break_reason::Reset;
};

/// Answer to probe_target; an unanswered probe is reported with \c alive false.
struct probe_answered {
    target_id target;
    bool alive = false;
    bool hasAttempt = false; ///< the target still runs the probed attempt
};

/// The time asked for with set_timer has come.
struct timer_fired { };

/// A peer reported that the target is lost. A hint: the stream may still be alive.
struct target_lost {
    target_id target;
};

/// The caller closed its connection or cancelled.
struct caller_gone { };

/// The node is leaving. Streams continue; at \c handOverAfter they are handed over to the caller's next node.
struct drain_requested {
    std::chrono::milliseconds handOverAfter { 0 }; ///< 0: never, finish all streams here
};

using generation_event = std::variant<target_chosen, no_target, attempt_accepted, attempt_rejected, token_arrived,
    attempt_done, attempt_broken, probe_answered, timer_fired, target_lost, caller_gone, drain_requested>;

} // namespace oriolepick
