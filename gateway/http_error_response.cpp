#include "gateway/http_error_response.h"

#include "core/seeded_random.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    /// Seconds until callers come back: the least, and over how long they are spread so as not to come together.
    struct retry_delay_range {
        double minimum;
        double spread;
    };

    /// Callers seldom come back twice, so the time is that of the usual remedy.
    retry_delay_range retryDelayRangeOf(error_kind kind)
    {
        switch (kind) {
        case error_kind::NodeNotReady:
            return { 1.0, 2.0 }; // the store's outages last seconds, and it is asked each second
        case error_kind::NoTarget:
            return { 0.7, 1.0 }; // crashed targets are back after about a second
        default:
            return { 0.1, 0.3 }; // a place in a short queue is free again by then
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
