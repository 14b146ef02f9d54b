#include "core/error_kind.h"

#include <array>
#include <cstdlib>

namespace oriolepick {

namespace {

    constexpr std::array<error_response, 36> ErrorResponses { {
        { error_kind::BadRequest, 400, "bad_request", run_state::NotRun, false },
        { error_kind::UnsupportedMediaType, 415, "unsupported_media_type", run_state::NotRun, false },
        { error_kind::BodyTooLarge, 413, "body_too_large", run_state::NotRun, false },
        { error_kind::HeaderTooLarge, 431, "header_too_large", run_state::NotRun, false },
        { error_kind::Unauthorized, 401, "unauthorized", run_state::NotRun, false },
        { error_kind::Forbidden, 403, "forbidden", run_state::NotRun, false },
        { error_kind::UnknownModel, 404, "unknown_model", run_state::NotRun, false },
        { error_kind::UnknownService, 404, "unknown_service", run_state::NotRun, false },
        { error_kind::UnknownCall, 404, "unknown_call", run_state::MayHaveRun, false },
        { error_kind::MethodNotAllowed, 405, "method_not_allowed", run_state::NotRun, false },
        { error_kind::KeyReused, 422, "key_reused", run_state::NotRun, false },
        { error_kind::CursorInvalid, 400, "cursor_invalid", run_state::NotRun, false },
        { error_kind::LimitExceeded, 429, "limit_exceeded", run_state::NotRun, true },
        { error_kind::Overloaded, 503, "overloaded", run_state::NotRun, true },
        { error_kind::NoTarget, 503, "no_target", run_state::NotRun, true },
        { error_kind::QueueTimeout, 504, "queue_timeout", run_state::NotRun, true },
        { error_kind::NoTimeLeft, 503, "no_time_left", run_state::NotRun, false },
        { error_kind::DeadlineExceeded, 504, "deadline_exceeded", run_state::MayHaveRun, false },
        { error_kind::NodeDraining, 503, "node_draining", run_state::NotRun, true },
        { error_kind::NodeNotReady, 503, "node_not_ready", run_state::NotRun, true },
        { error_kind::RequestCrashesTargets, 422, "request_crashes_targets", run_state::MayHaveRun, false },
        { error_kind::RequestQuarantined, 503, "request_quarantined", run_state::NotRun, false },
        { error_kind::GenerationLost, 502, "generation_lost", run_state::MayHaveRun, true },
        { error_kind::TargetFailed, 502, "target_failed", run_state::MayHaveRun, true },
        { error_kind::HandedOver, 503, "handed_over", run_state::MayHaveRun, true },
        { error_kind::OutcomeUnknown, 504, "outcome_unknown", run_state::MayHaveRun, false },
        { error_kind::ClaimUnavailable, 503, "claim_unavailable", run_state::MayHaveRun, true },
        { error_kind::TicketInvalid, 422, "ticket_invalid", run_state::NotRun, false },
        { error_kind::TicketNumberTaken, 409, "ticket_number_taken", run_state::NotRun, false },
        { error_kind::TicketNumberGap, 409, "ticket_number_gap", run_state::NotRun, false },
        { error_kind::PlatformUnavailable, 503, "platform_unavailable", run_state::NotRun, true },
        { error_kind::PlatformUnknown, 504, "platform_unknown", run_state::MayHaveRun, true },
        { error_kind::StaleFencing, 409, "stale_fencing", run_state::NotRun, false },
        { error_kind::NotLoaded, 409, "not_loaded", run_state::NotRun, true },
        { error_kind::Cancelled, 499, "cancelled", run_state::MayHaveRun, false },
        { error_kind::Internal, 500, "internal", run_state::MayHaveRun, false },
    } };

} // namespace

const error_response& errorResponseFor(error_kind kind)
{
    for (const auto& answer : ErrorResponses) {
        if (answer.kind == kind)
            return answer;
    }
    std::abort();
}

std::string_view toString(run_state run)
{
    switch (run) {
    case run_state::NotRun:
        return "not_run";
    case run_state::Ran:
        return "ran";
    case run_state::MayHaveRun:
        break;
    }
    return "may_have_run";
}

} // namespace oriolepick
