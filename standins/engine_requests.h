/// \file
/// Checked parsers of the requests that an emulated engine gets, and writers of its answers.
#pragma once

#include "core/error.h"
#include "targets/engine_client.h"

#include <string>
#include <string_view>

namespace oriolepick {

/// \return the attempt in the body of POST /v1/attempts, or BadRequest naming the field
result<attempt_request> parseAttemptRequest(std::string_view text);

/// \return the order in the body of POST /v1/orders, or BadRequest naming the field
result<engine_order> parseOrder(std::string_view text);

/// \return the attempt identifier "origin.ordinal" as data, or nothing when malformed
std::optional<attempt_id> parseAttemptId(std::string_view text);

std::string formatState(const engine_state& state);
std::string formatLoad(const engine_load& load);
std::string formatCacheEvents(const cache_events& report);

/// \return a whole server-sent event with one token
std::string formatToken(std::uint32_t position, token_id id);

/// \return a whole server-sent end event
std::string formatDone(const attempt_summary& summary);

/// \return an error body with a code word
std::string formatCode(std::string_view code, std::string_view message);

} // namespace oriolepick
