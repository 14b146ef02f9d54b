#include "gateway/error_answer_head.h"

#include "core/seeded_random.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    /// Seconds until callers come back: the least, and over how long they are spread so as not to come together.
    struct return_time {
        double least;
        double spread;
    };

    /// Callers seldom come back twice, so the time is that of the usual remedy.
    return_time returnTimeOf(error_kind kind)
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

whole_answer errorAnswer(
    error_kind kind, std::string_view why, seeded_random& random, std::optional<std::chrono::milliseconds> returnAfter)
{
    const auto& row = errorResponseFor(kind);
    whole_answer answer;
    answer.head.status = row.status;
    answer.head.reason = reasonPhrase(row.status);
    answer.head.fields.push_back({ "Content-Type", "application/json" });
    if (row.run == run_state::NotRun && row.retryable) {
        const auto usual = returnTimeOf(kind);
        const double seconds = returnAfter ? std::chrono::duration<double>(*returnAfter).count()
                                           : usual.least + usual.spread * random.unit();
        answer.head.fields.push_back({ "Retry-After", std::to_string(seconds) });
    }
    answer.body = nlohmann::json {
        { "error", { { "code", row.code }, { "message", why }, { "run", toString(row.run) } } }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

} // namespace oriolepick
