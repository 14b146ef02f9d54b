/// \file
/// Input events of the state machine of a streamed generation.
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
    NoneAvailable, ///< No live target with free capacity has the model now.
    VersionGone, ///< No target serves this model, version and adapter any more.
    Quarantined, ///< The request crashed too many targets.
};

/// Why a target rejected an attempt. Each reason proves that the attempt did not run.
enum class reject_reason {
    QueueFull, ///< 429
    Draining, ///< 503: the target is draining
    NotLoaded, ///< 409: the target has another model, version or adapter
    NotSent, ///< no byte of the request was sent
};

/// Why the stream of an attempt ended early.
enum class break_reason {
    Reset, ///< the connection was lost
    Truncated, ///< the response ended without its end event
    Refused, ///< the target refused the connection: its process is not running
    UnknownAttempt, ///< the target answered an attach with "unknown" (404)
    Superseded, ///< a reader with a higher epoch attached to the attempt
};

/// Response to choose_target.
struct target_chosen {
    attempt_id attempt;
    target_id target;
    model_ref model; ///< what the target reports as loaded
    std::chrono::milliseconds expectedFirstToken { 0 }; ///< estimated queueing and prefill time, 0 if unknown
};

/// Response to choose_target if no target is available.
struct no_target {
    attempt_id attempt;
    no_target_reason reason = no_target_reason::NoneAvailable;
    std::chrono::milliseconds retryAfter { 0 };
};

/// The target accepted the start or the attach: its response headers arrived, long before the first token.
struct attempt_accepted {
    attempt_id attempt;
};

/// The target provably did not run the attempt.
struct attempt_rejected {
    attempt_id attempt;
    reject_reason reason = reject_reason::QueueFull;
    std::chrono::milliseconds retryAfter { 0 };
};

/// One token of an attempt. Positions count from 0 over the whole response, including a prefix.
struct token_arrived {
    attempt_id attempt;
    std::uint32_t position = 0;
    token value;
};

/// The engine ended the response.
struct attempt_done {
    attempt_id attempt;
    finish_reason reason = finish_reason::Stop;
    std::uint32_t length = 0; ///< tokens of the whole response, including a prefix
};

/// The stream of an attempt ended early.
struct attempt_broken {
    attempt_id attempt;
    break_reason reason = break_reason::Reset;
};

/// Result of probe_target; a probe without a response is reported with \c alive false.
struct probe_answered {
    target_id target;
    bool alive = false;
    bool hasAttempt = false; ///< the target still runs the probed attempt
    bool notSent = false; ///< this node could not send the probe, which says nothing about the target
};

/// The timer set by set_timer expired.
struct timer_fired { };

/// A peer reported that the target is lost. This is a hint: the stream may still be alive.
struct target_lost {
    target_id target;
};

/// The caller closed its connection or cancelled the request.
struct caller_gone { };

/// The node is draining. Streams continue; after \c handOverAfter they are handed over to the caller's next node.
struct drain_requested {
    std::chrono::milliseconds handOverAfter { 0 }; ///< 0: streams are never handed over and finish on this node
};

using generation_event = std::variant<target_chosen, no_target, attempt_accepted, attempt_rejected, token_arrived,
    attempt_done, attempt_broken, probe_answered, timer_fired, target_lost, caller_gone, drain_requested>;

} // namespace oriolepick
