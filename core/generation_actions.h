/// \file
/// Output actions of the state machine of a streamed generation; its node executes them.
#pragma once

#include "core/error_kind.h"
#include "core/generation_events.h"
#include "core/instant.h"
#include "core/names.h"
#include "core/token.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolepick {

/// Purpose of an attempt.
enum class attempt_purpose {
    Start, ///< the first attempt
    Continue, ///< continuation from the prompt and the delivered tokens
    Replay, ///< runs from the prompt; tokens before the delivered position are not delivered again
    Hedge, ///< a second attempt while the current one is suspected
};

/// Events that are counted for metrics.
enum class generation_counter {
    OldAttemptToken, ///< dropped: a token of an attempt that is not current
    RepeatedToken, ///< dropped: a token of the current attempt before the next position
    TokenGap, ///< the current attempt skipped a position
    Suspicion, ///< a stall was suspected
    FalseSuspicion, ///< the suspected attempt produced the next token itself
    Hedge, ///< a second attempt was placed
    HedgeWon, ///< the second attempt became current
    Attach, ///< an attach was sent
    AttachWorked, ///< an attached stream delivered a token
    Resumed, ///< the stream continued after a break or suspicion
    DigestMismatch, ///< a replayed attempt produced other tokens than those delivered
    WrongVersion, ///< a chosen target reports another model, version or adapter
    RetryDenied, ///< the retry budget was exhausted
    Superseded, ///< another reader took over the stream
};

/// Chooses a target for a new attempt. The node responds with target_chosen or no_target.
struct choose_target {
    attempt_id attempt;
    attempt_purpose purpose = attempt_purpose::Start;
    std::vector<target_id> excluded; ///< targets that failed or rejected this request, or run its other attempt
    std::uint32_t prefixLength = 0; ///< delivered tokens that the attempt starts with
    bool preferCached = false; ///< prefer a target that has the prefix cached over the least loaded one
    bool preferOtherZone = false; ///< set if the excluded targets may have failed with their zone
};

/// Starts a new attempt on a target.
struct start_attempt {
    attempt_id attempt;
    target_id target;
    token_list prefix; ///< response tokens to continue from; the first new position is its size
    bool interrupted = false; ///< the caller's stream is interrupted: requests a higher priority from the engine
};

/// Reads an attempt that the target already runs, from position \c from. The node first closes its earlier reader of
/// the attempt and forwards no further events of that reader, in particular not that it was superseded.
struct attach_attempt {
    attempt_id attempt;
    target_id target;
    std::uint32_t from = 0;
};

/// Cancels an attempt on its target.
struct cancel_attempt {
    attempt_id attempt;
    target_id target;
};

/// Checks whether the target is alive and runs the attempt. The node responds with probe_answered.
struct probe_target {
    attempt_id attempt;
    target_id target;
};

/// Sends one token to the caller. \c digest is the rolling digest including this token, for the cursor.
struct deliver_token {
    std::uint32_t position = 0;
    token value;
    std::uint64_t digest = 0;
};

/// Completes the response. Final action.
struct complete {
    finish_reason reason = finish_reason::Stop;
};

/// Ends the response with an error. Final action.
struct fail {
    error_kind kind = error_kind::Internal;
    std::chrono::milliseconds retryAfter { 0 };
};

/// Requests timer_fired at this time; replaces an earlier timer.
struct set_timer {
    instant at;
};

/// Reports that the target crashed while it ran this request.
struct report_crash {
    target_id target;
};

/// Increments a counter.
struct count {
    generation_counter counter;
};

using generation_action = std::variant<choose_target, start_attempt, attach_attempt, cancel_attempt, probe_target,
    deliver_token, complete, fail, set_timer, report_crash, count>;
using generation_actions = std::vector<generation_action>;

} // namespace oriolepick
