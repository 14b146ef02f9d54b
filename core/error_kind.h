/// \file
/// The one closed list of error kinds and the table that turns a kind into an answer. No other place decides an HTTP
/// status, a code word, whether the work may have run, or whether the caller may retry.
#pragma once

#include <string_view>

namespace oriolepick {

/// Every error that can reach a caller or an operator.
enum class error_kind {
    BadRequest, ///< The request's form is wrong; the message names the field.
    UnsupportedMediaType, ///< The body is not JSON.
    BodyTooLarge, ///< The body is larger than the configured limit.
    HeaderTooLarge, ///< The header fields are larger than the configured limit.
    Unauthorized, ///< No valid token.
    Forbidden, ///< A valid token without the right to this object.
    UnknownModel, ///< No such deployment in the caller's fleet.
    UnknownService, ///< No such plain service in the caller's fleet.
    UnknownCall, ///< No call with this key is known.
    MethodNotAllowed, ///< The service does not declare this method.
    KeyReused, ///< The idempotency key was used with a different body.
    CursorInvalid, ///< The cursor is malformed, altered, expired or of another team.
    LimitExceeded, ///< The team is over its limit.
    Overloaded, ///< The queue is full or the request was shed.
    NoTarget, ///< No live target has what the request needs.
    QueueTimeout, ///< The deadline passed before any dispatch.
    NoTimeLeft, ///< The work cannot end before its deadline, so it was not begun.
    DeadlineExceeded, ///< The deadline passed after a dispatch.
    NodeDraining, ///< This node is leaving and takes no new work.
    NodeNotReady, ///< This node does not know the state in force yet.
    RequestCrashesTargets, ///< The request is quarantined: it crashed several targets.
    RequestQuarantined, ///< The request crashed several targets when it was sent before; this time it is not run.
    GenerationLost, ///< The answer cannot be completed without mixing two generations.
    TargetFailed, ///< The target failed and retries are used up.
    HandedOver, ///< The stream goes on; reconnect at another node with the cursor.
    OutcomeUnknown, ///< The call was dispatched and its result is not known.
    ClaimUnavailable, ///< The table cannot be reached; another node may have run this key.
    TicketInvalid, ///< The ticket fails validation.
    TicketNumberTaken, ///< Another ticket was accepted under this number.
    TicketNumberGap, ///< The number is not the next one.
    PlatformUnavailable, ///< The platform did not take the operation.
    PlatformUnknown, ///< The platform's answer was lost; the write may have taken effect.
    StaleFencing, ///< The target refused an old fencing number.
    NotLoaded, ///< The target does not have the model, version or adapter.
    Cancelled, ///< The caller went away or cancelled.
    Internal, ///< An error of this system.
};

/// What an error says about the work.
enum class run_state {
    NotRun, ///< Proved: the work did not run and will not.
    MayHaveRun, ///< Not known.
    Ran, ///< The work ran.
};

/// One row of the table from kind to answer.
struct error_response {
    error_kind kind;
    int status; ///< HTTP status
    std::string_view code; ///< stable code word for programs
    run_state run;
    bool retryable; ///< whether the caller may send the same request again
};

/// \return the row of the table for \p kind
const error_response& errorResponseFor(error_kind kind);

/// \return "not_run", "may_have_run" or "ran"
std::string_view toString(run_state run);

} // namespace oriolepick
