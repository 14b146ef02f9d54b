/// \file
/// Settings of an emulated engine.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace oriolepick {

struct attempt_request;

/// Settings of an emulated engine; durations are real time.
struct engine_settings {
    std::vector<model_ref> models; ///< loaded at the start
    std::string role = "mixed"; ///< the role that tickets give by default
    std::uint64_t salt = 0; ///< enters each token; 0 makes all engines agree
    std::uint64_t seed = 1; ///< of the choice which cache events are lost

    // Pace: one step gives each attempt of the batch one token.
    std::chrono::microseconds stepBase { 20'000 }; ///< duration of a step with an empty batch
    std::chrono::microseconds stepPerAttempt { 100 }; ///< added for each attempt of the batch
    std::chrono::microseconds prefillPerToken { 100 }; ///< per uncached prompt token or prefix token
    std::uint32_t prefillChunk = 512; ///< most prompt tokens computed in one step
    std::uint32_t batch = 64; ///< most attempts that run at a time
    std::uint32_t maxQueue = 256; ///< most attempts that wait

    std::uint64_t kvTokens = 1'000'000; ///< memory for prompts, answers and cached blocks, in tokens
    std::chrono::milliseconds cacheEventDelay { 200 };
    std::uint32_t cacheEventLossPercent = 0;
    std::chrono::milliseconds loadReportLag { 100 };

    std::chrono::milliseconds attachableFor { 10'000 }; ///< how long an attempt outlives its reader
    std::uint64_t weightBytes = 1'000'000'000; ///< of each model
    std::uint64_t weightBytesPerSecond = 1'000'000'000;
    bool checksFencing = true;
    std::string crashOn; ///< text of prompts that crash the engine; empty for none
    std::size_t maxConnections = 4096;

    /// Called on the batch's thread right before a token is given to its reader, for benchmarks; empty for none.
    std::function<void(const attempt_request& request, std::uint32_t position)> tokenObserver;
};

} // namespace oriolepick
