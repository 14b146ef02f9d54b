/// \file
/// What a model engine says of its own load.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace oriolepick {

/// As of some hundred milliseconds before it was asked for.
struct engine_report {
    std::uint32_t queued = 0; ///< requests that wait for a place
    std::uint32_t running = 0;
    std::uint32_t prefilling = 0; ///< of the running ones, those that have made nothing yet
    std::uint64_t usedTokens = 0; ///< memory that running requests and copies hold
    std::uint64_t startedAt = 0; ///< Unix milliseconds of the engine's start, 0 when not given
    std::uint64_t totalTokens = 0; ///< memory as a whole, 0 when not known
    std::optional<std::chrono::milliseconds> leavesIn; ///< when it is known to leave
};

} // namespace oriolepick
