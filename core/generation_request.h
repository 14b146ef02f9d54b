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

/// Point from which a generation resumes, taken from the caller's cursor.
struct resume_point {
    attempt_id attempt; ///< attempt that is tried first, with an attach
    target_id target; ///< target that ran the attempt
    std::uint32_t position = 0; ///< first position that the caller does not have
    std::uint64_t digest = 0; ///< rolling digest of the tokens before \c position
    std::optional<token_list> receivedTokens; ///< the tokens before \c position, if the caller returned them
};

/// The properties of a request that determine its life cycle.
struct generation_request {
    request_key key;
    /// Origin of its attempt identifiers, unique to this generation: node, incarnation and counter.
    std::string attemptOrigin;
    model_ref model; ///< the model, version and adapter that every attempt must run
    std::string targetGroup; ///< key of the retry budget: deployment and zone, or deployment
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 1;
    std::optional<instant> deadline;
    bool callerRetry = false; ///< the caller's request is itself a retry
    std::optional<resume_point> resume;
};

} // namespace oriolepick
