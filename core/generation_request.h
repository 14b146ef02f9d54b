/// \file
/// Specification of one streamed generation.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/token.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolepick {

/// Where a caller's cursor lets a generation start.
struct resume_point {
    attempt_id attempt; ///< attempt to attach to first
    target_id target; ///< target that ran the attempt
    std::uint32_t position = 0; ///< first position that the caller does not have
    std::uint64_t digest = 0; ///< rolling digest of the tokens before \c position
    std::optional<token_list> receivedTokens; ///< the tokens before \c position, if the caller returned them
};

/// Everything about a request that its life cycle depends on.
struct generation_request {
    request_key key;
    std::string attemptOrigin; ///< unique to this generation: node, incarnation and counter
    model_ref model; ///< what every attempt must run
    std::string targetGroup; ///< deployment and zone, or deployment: key of the retry budget
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 1;
    std::optional<instant> deadline;
    bool callerRetry = false; ///< the caller's request is itself a retry
    std::optional<resume_point> resume;
};

} // namespace oriolepick
