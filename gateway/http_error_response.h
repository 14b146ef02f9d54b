/// \file
/// Error responses that the gateway itself sends, made from the table of error kinds.
#pragma once

#include "core/error_kind.h"
#include "gateway/http_message.h"

#include <chrono>
#include <optional>
#include <string>

namespace oriolepick {

class seeded_random;

/// Head and body of one error response.
struct http_error_response {
    http_response_head head;
    std::string body;
};

/// \param random spreads the retries of rejected callers over time
/// \param retryAfter delay before a retry, already randomised; nothing for the default delay of \p kind
/// \return the response for \p kind with a JSON body and, if the request did not run and may be retried, a Retry-After
/// field
http_error_response makeErrorResponse(error_kind kind, std::string_view errorMessage, seeded_random& random,
    std::optional<std::chrono::milliseconds> retryAfter = {});

} // namespace oriolepick
