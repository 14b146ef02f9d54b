#include "gateway/error_answer_head.h"

#include "core/seeded_random.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    /// Shortest time to come back, in seconds: a place in a short queue is free again by then.
    constexpr double MinRetryAfter = 0.1;
    /// Refused callers return over this many seconds, so that they do not come together again.
    constexpr double RetryAfterSpread = 0.3;

} // namespace

whole_answer errorAnswer(error_kind kind, std::string_view why, seeded_random& random)
{
    const auto& row = answerFor(kind);
    whole_answer answer;
    answer.head.status = row.status;
    answer.head.reason = reasonOf(row.status);
    answer.head.fields.push_back({ "Content-Type", "application/json" });
    if (row.run == run_state::NotRun && row.retryable)
        answer.head.fields.push_back(
            { "Retry-After", std::to_string(MinRetryAfter + RetryAfterSpread * random.unit()) });
    answer.body = nlohmann::json {
        { "error", { { "code", row.code }, { "message", why }, { "run", toString(row.run) } } }
    }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

} // namespace oriolepick
