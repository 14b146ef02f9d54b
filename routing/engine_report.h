/// \file
/// What a model engine says of its own load.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// A generation that an engine runs: its prompt has been read.
struct running_generation {
    std::string attempt; ///< identifier of the request
    std::uint64_t eventsProduced = 0;
};

/// As of some hundred milliseconds before it was asked for.
struct engine_report {
    std::uint32_t queued = 0; ///< requests that wait for a place or for other prompts to be read
    std::uint32_t admitted = 0; ///< requests that run or whose prompt is being read
    std::vector<running_generation> runs;
    std::uint64_t usedTokens = 0; ///< memory that running requests and copies hold
    std::uint64_t startedAt = 0; ///< Unix milliseconds of the engine's start, 0 when not given
    std::uint64_t totalTokens = 0; ///< memory as a whole, 0 when not known
    std::optional<std::chrono::milliseconds> timeToShutdown; ///< when it is known to leave

    /// \return the requests whose prompts are being read; only their number is known
    std::uint32_t prefilling() const;

    /// \return whether the request \p attempt may be waiting, read or running there; only running ones are named
    bool mayContain(std::string_view attempt) const;
};

} // namespace oriolepick
