/// \file
/// The gateway's own answers, from the table of errors.
#pragma once

#include "core/error_kind.h"
#include "gateway/http_message.h"

#include <chrono>
#include <optional>
#include <string>

namespace oriolepick {

class seeded_random;

/// Head and body of one answer.
struct http_error_response {
    http_response_head head;
    std::string body;
};

/// \param random spreads the time at which refused callers return
/// \param retryAfter when to return, already spread; nothing for the usual time of \p kind
/// \return the answer for \p kind with a JSON body and, where the request did not run and may be sent again, the time
/// to come back
http_error_response makeErrorResponse(error_kind kind, std::string_view errorMessage, seeded_random& random,
    std::optional<std::chrono::milliseconds> retryAfter = {});

} // namespace oriolepick
