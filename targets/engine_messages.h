/// \file
/// Checked parsers and writers of the JSON bodies of the engine protocol.
#pragma once

#include "core/error.h"
#include "targets/engine_client.h"

#include <string>
#include <string_view>

namespace oriolepick {

/// One token of a stream.
struct token_message {
    std::uint32_t position = 0;
    token next;
};

/// \return the body of POST /v1/attempts
std::string formatAttemptRequest(const attempt_request& request);

/// \return the body of POST /v1/orders
std::string formatOrder(const engine_order& order);

/// \return the token of a stream event, or BadRequest naming the field
result<token_message> parseToken(std::string_view text);

/// \return the summary in an end event, or BadRequest naming the field
result<attempt_summary> parseSummary(std::string_view text);

/// \return the body of GET /v1/state, or BadRequest naming the field
result<engine_state> parseState(std::string_view text);

/// \return the body of GET /v1/load, or BadRequest naming the field
result<engine_load> parseLoad(std::string_view text);

/// \return the body of GET /v1/cache-events, or BadRequest naming the field
result<cache_events> parseCacheEvents(std::string_view text);

/// \return the value of the field "code" of a rejection; empty when there is none
std::string parseCode(std::string_view text);

/// \return the field "has_attempt" of a health answer, if it is there
std::optional<bool> parseHasAttempt(std::string_view text);

} // namespace oriolepick
