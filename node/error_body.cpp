#include "node/error_body.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

std::string errorBody(const error& problem, std::optional<run_state> run)
{
    const auto& answer = errorResponseFor(problem.kind);
    nlohmann::json body;
    auto& fields = body["error"];
    fields["code"] = std::string(answer.code);
    fields["message"] = problem.message;
    fields["run"] = std::string(toString(run.value_or(answer.run)));
    fields["retryable"] = answer.retryable;
    fields["retry_after_ms"] = problem.retryAfter.count();
    // Messages can quote outside input that is not UTF-8.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace oriolepick
