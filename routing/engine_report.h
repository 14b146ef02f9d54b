/// \file
/// Load report of a model engine.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// A running generation whose prefill is complete.
struct running_generation {
    std::string attempt; ///< identifier of the attempt
    std::uint64_t eventsProduced = 0;
    std::uint64_t tokens = 0; ///< memory in tokens that the generation holds
    std::uint32_t priority = 0; ///< 0 is the most urgent
};

/// The state of an engine some hundred milliseconds before the report was requested.
struct engine_report {
    std::uint32_t queued = 0; ///< requests that wait for a slot or for the prefill of other prompts
    std::uint32_t admitted = 0; ///< requests that are generating or in prefill
    std::vector<running_generation> runs;
    std::uint64_t usedTokens = 0; ///< memory in tokens held by running requests and by copies of other runs
    std::uint64_t startedAt = 0; ///< start of the engine in Unix milliseconds, 0 if not reported
    std::uint64_t totalTokens = 0; ///< total memory in tokens, 0 if unknown
    std::optional<std::chrono::milliseconds> timeToShutdown; ///< time until a scheduled shutdown of the engine

    /// \return the number of requests in prefill; the report does not identify them
    std::uint32_t prefilling() const;

    /// \return whether the engine may hold the request \p attempt. A queued request or one in prefill is not
    /// identified, so any of these may be \p attempt.
    bool mayContain(std::string_view attempt) const;
};

} // namespace oriolepick
