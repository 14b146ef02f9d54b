/// \file
/// The operator's order to move a service to another version of its targets.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace oriolepick {

/// Shift the requests of a service to the targets of one version within a time.
struct rollout_order {
    service_name service;
    std::string version; ///< of the targets that are to receive the requests
    std::chrono::milliseconds duration { 0 }; ///< from the order to its deadline
    std::uint64_t revision = 0; ///< row version of the order's row; identifies the order
};

} // namespace oriolepick
