#include "gateway/http_error_response.h"

#include "core/seeded_random.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    /// Delay before a retry, seconds: the minimum and the random spread that keeps callers from retrying
    /// simultaneously.
    struct retry_delay_range {
        double minimum;
        double spread;
    };

    /// Callers seldom retry more than once, so each delay covers the usual recovery time.
    retry_delay_range retryDelayRangeOf(error_kind kind)
    {
        switch (kind) {
        case error_kind::NodeNotReady:
            return { 1.0, 2.0 }; // outages of the store last seconds, and the store is queried every second
        case error_kind::NoTarget:
            return { 0.7, 1.0 }; // crashed targets restart within about a second
        default:
            return { 0.1, 0.3 }; // a slot in a short queue is free again by then
        }
    }

} // namespace

http_error_response makeErrorResponse(error_kind kind, std::string_view errorMessage, seeded_random& random,
    std::optional<std::chrono::milliseconds> retryAfter)
{
    const auto& row = errorResponseFor(kind);
    http_error_response response;
    response.head.status = row.status;
    response.head.reason = reasonPhrase(row.status);
    response.head.fields.push_back({ "Content-Type", "application/json" });
    if (row.run == run_state::NotRun && row.retryable) {
        const auto defaultRange = retryDelayRangeOf(kind);
        const double seconds = retryAfter ? std::chrono::duration<double>(*retryAfter).count()
                                          : defaultRange.minimum + defaultRange.spread * random.unit();
        response.head.fields.push_back({ "Retry-After", std::to_string(seconds) });
    }
    response.body = nlohmann::json {
        { "error", { { "code", row.code }, { "message", errorMessage }, { "run", toString(row.run) } } }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace oriolepick
