/// \file
/// What a streamed generation asks its node to do: the output actions of its state machine.
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

/// What a target is needed for.
enum class attempt_purpose {
    Start, ///< the first attempt
    Continue, ///< continuation from the prompt and the delivered tokens
    Replay, ///< run from the prompt, deliver nothing before the known position
    Hedge, ///< a second attempt while the first is suspected
};

/// What a generation counts for metrics.
enum class generation_counter {
    OldAttemptToken, ///< dropped: a token of an attempt that is not current
    RepeatedToken, ///< dropped: a token of the current attempt before the next position
    TokenGap, ///< the current attempt skipped a position
    Suspicion, ///< a stall was suspected
    FalseSuspicion, ///< the suspected attempt produced the next token itself
    Hedge, ///< a second attempt was placed
    HedgeWon, ///< the second attempt became current
    Attach, ///< an attach was tried
    AttachWorked, ///< an attached stream delivered
    Resumed, ///< the stream continued after a break or suspicion
    DigestMismatch, ///< a replayed attempt differs from the delivered tokens
    WrongVersion, ///< a chosen target reports another model, version or adapter
    RetryDenied, ///< the retry budget had nothing left
    Superseded, ///< another reader took the stream
};

/// Choose a target for a new attempt; answered with target_chosen or no_target.
struct choose_target {
    attempt_id attempt;
    attempt_purpose purpose = attempt_purpose::Start;
    std::vector<target_id> excluded; ///< targets that failed or rejected this request, or run its other attempt
    std::uint32_t prefixLength = 0; ///< delivered tokens that the attempt starts with
    bool preferCached = false; ///< prefer a target that has the prefix cached over the least loaded one
    bool preferOtherZone = false; ///< the excluded targets may have failed with their zone
};

/// Start a new attempt on a target.
struct start_attempt {
    attempt_id attempt;
    target_id target;
    token_list prefix; ///< response tokens to continue from; the first new position is its size
    bool interrupted = false; ///< a caller's stream stands still: ask the engine for a higher priority
};

/// Read an attempt that the target already runs; \c from is the first position wanted. The node closes its earlier
/// reader of the attempt first and passes on no event of it any more, in particular not that it was superseded.
struct attach_attempt {
    attempt_id attempt;
    target_id target;
    std::uint32_t from = 0;
};

/// Stop an attempt on its target.
struct cancel_attempt {
    attempt_id attempt;
    target_id target;
};

/// Ask the target whether it is alive and runs the attempt; answered with probe_answered.
struct probe_target {
    attempt_id attempt;
    target_id target;
};

/// Send one token to the caller. \c digest is the rolling digest including it, for the cursor.
struct deliver_token {
    std::uint32_t position = 0;
    token value;
    std::uint64_t digest = 0;
};

/// The response is complete. Final.
struct complete {
    finish_reason reason = finish_reason::Stop;
};

/// The response fails. Final.
struct fail {
    error_kind kind = error_kind::Internal;
    std::chrono::milliseconds retryAfter { 0 };
};

/// Wake the generation with timer_fired at this time; replaces an earlier timer.
struct set_timer {
    instant at;
};

/// The target crashed while it ran this request.
struct report_crash {
    target_id target;
};

/// Add one to a counter.
struct count {
    generation_counter counter;
};

using generation_action = std::variant<choose_target, start_attempt, attach_attempt, cancel_attempt, probe_target,
    deliver_token, complete, fail, set_timer, report_crash, count>;
using generation_actions = std::vector<generation_action>;

} // namespace oriolepick
