/// \file
/// Settings of version rollouts.
#pragma once

#include "routing/version_comparison.h"

#include <chrono>
#include <cstdint>

namespace oriolepick {

/// Settings of rollout_coordinator.
struct rollout_settings {
    double exposureShare = 0.1; ///< of all requests of the service that a bad version may receive
    std::uint64_t exposureSlack = 50; ///< requests that a bad version may receive in addition
    double exposureMargin = 0.8; ///< part of the exposure that is used, since reports lag behind
    std::chrono::milliseconds rollbackBound { 5'000 }; ///< from the 50th bad response to the last request
    std::chrono::milliseconds newsBound { 4'000 }; ///< for which an order may be in transit after its targets
    std::chrono::milliseconds reportPeriod { 250 };
    std::chrono::milliseconds answerTimeout { 50 }; ///< for a permit; then the old version serves the request
    double observingPart = 0.4; ///< of the duration of the order
    double shiftingPart = 0.85; ///< of the duration, at which runs at old targets are no longer awaited
    std::chrono::milliseconds finishMargin { 1'000 }; ///< before the deadline, for the commit and the news
    version_comparison_settings comparison;
};

} // namespace oriolepick
