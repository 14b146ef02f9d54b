/// \file
/// A caller's request for a completion, parsed and checked.
#pragma once

#include "core/error.h"
#include "core/token.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// Fields of POST /v1/completions.
struct completion_request {
    std::string model; ///< name in the caller's fleet
    std::string prompt;
    std::uint32_t maximumTokens = 256;
    std::optional<std::uint64_t> seed;
    bool stream = false;
    std::optional<int> priority; ///< 0 can wait, 9 is most urgent
    std::optional<std::chrono::milliseconds> deadline; ///< from arrival
    std::optional<token_list> receivedTokens; ///< on a reconnect: what the caller has, from position 0
};

/// Largest accepted value of max_tokens.
constexpr std::uint32_t MaximumCompletionTokens = 65536;

/// \param body at most the configured body size
/// \return the request, or BadRequest that names every wrong field
result<completion_request> parseCompletionRequest(std::string_view body);

} // namespace oriolepick
