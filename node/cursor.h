/// \file
/// The resume cursor that a caller holds: everything another node needs to continue a stream, signed and expiring.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <cstdint>
#include <string>

namespace oriolepick {

/// Contents of a cursor. Positions count tokens from 0 over the whole answer.
struct cursor {
    request_key key;
    deployment_id deployment;
    model_ref model;
    attempt_id attempt; ///< attempt that produced the last delivered token
    target_id target; ///< target that runs it
    std::uint64_t seed = 0;
    std::uint64_t promptDigest = 0; ///< stableHash of the prompt
    std::uint64_t answerDigest = 0; ///< rolling digest of all delivered tokens
    std::uint32_t nextPosition = 0; ///< first position the caller does not have
    std::uint32_t maximumTokens = 0;
    std::uint64_t readerEpoch = 0; ///< epoch of the reader that issued it; a later reader uses a higher one
    wall_time expiry;
};

} // namespace oriolepick
