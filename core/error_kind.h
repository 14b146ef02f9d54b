/// \file
/// All error kinds and the response for each. HTTP status, error code, execution state and retryability of an error are
/// defined only here.
#pragma once

#include <string_view>

namespace oriolepick {

/// All errors that can be reported to a caller or an operator.
enum class error_kind {
    BadRequest, ///< The request is malformed; the message names the field.
    UnsupportedMediaType, ///< The body is not JSON.
    BodyTooLarge, ///< The body is larger than the configured limit.
    HeaderTooLarge, ///< The header fields are larger than the configured limit.
    Unauthorized, ///< No valid bearer token.
    Forbidden, ///< The bearer token does not permit access to this object.
    UnknownModel, ///< No such deployment in the caller's fleet.
    UnknownService, ///< No such service in the caller's fleet.
    UnknownCall, ///< No call with this key exists.
    MethodNotAllowed, ///< The service does not declare this method.
    KeyReused, ///< The idempotency key was used with a different body.
    CursorInvalid, ///< The cursor is malformed, altered, expired or belongs to another team.
    LimitExceeded, ///< The team exceeded its limit.
    Overloaded, ///< The admission queue is full or the request was shed.
    NoTarget, ///< No live target can serve the request.
    QueueTimeout, ///< The deadline passed before the request was dispatched.
    NoTimeLeft, ///< The work cannot finish before its deadline and was not started.
    DeadlineExceeded, ///< The deadline passed after the request was dispatched.
    NodeDraining, ///< This node is draining and accepts no new work.
    NodeNotReady, ///< This node has not loaded the state in force yet.
    RequestCrashesTargets, ///< The request is quarantined: it crashed several targets.
    RequestQuarantined, ///< The request crashed several targets in earlier deliveries and was not run this time.
    GenerationLost, ///< The response cannot be completed without mixing two generations.
    TargetFailed, ///< The target failed and no retry is left.
    HandedOver, ///< The generation continues; reconnect to another node with the cursor.
    OutcomeUnknown, ///< The call was dispatched and its result is unknown.
    ClaimUnavailable, ///< The table is unavailable; another node may have run the call with this key.
    TicketInvalid, ///< The ticket fails validation.
    TicketNumberTaken, ///< Another ticket was accepted with this number.
    TicketNumberGap, ///< The number is not the successor of the last accepted one.
    PlatformUnavailable, ///< The platform did not accept the operation.
    PlatformUnknown, ///< The platform's response was lost; the write may have taken effect.
    StaleFencing, ///< The target rejected an outdated fencing number.
    NotLoaded, ///< The target does not have the model, version or adapter.
    Cancelled, ///< The caller disconnected or cancelled the request.
    Internal, ///< A fault in this system.
};

/// Whether the work of a failed request ran.
enum class run_state {
    NotRun, ///< The work provably did not run and will not run.
    MayHaveRun, ///< It is unknown whether the work ran.
    Ran, ///< The work ran.
};

/// How an error kind is reported.
struct error_response {
    error_kind kind;
    int status; ///< HTTP status
    std::string_view code; ///< stable machine-readable error code
    run_state run;
    bool retryable; ///< whether the caller may send the same request again
};

/// \return how \p kind is reported
const error_response& errorResponseFor(error_kind kind);

/// \return "not_run", "may_have_run" or "ran"
std::string_view toString(run_state run);

} // namespace oriolepick
