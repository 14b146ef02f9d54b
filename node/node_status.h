/// \file
/// Whether this node is ready or draining, and how many streams it holds.
#pragma once

#include "core/instant.h"

#include <atomic>
#include <cstdint>

namespace oriolepick {

/// Shared flags of the node's life. Thread-safe.
struct node_status {
    std::atomic<bool> ready { false }; ///< the state in force is known
    std::atomic<bool> draining { false }; ///< a planned stop has begun
    std::atomic<instant> workEndsAt { instant::max() }; ///< when a planned stop ends the work that is still under way
    std::atomic<std::int64_t> openRequests { 0 }; ///< generations and calls that run or whose answers are being sent
};

} // namespace oriolepick
