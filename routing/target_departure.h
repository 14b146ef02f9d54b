/// \file
/// What a node knows about targets that leave or have left.
#pragma once

#include "routing/registration_version.h"
#include "routing/routing_names.h"

#include <chrono>
#include <optional>

namespace oriolepick {

/// An incarnation of a target that drains, or that was removed a short time ago.
struct target_departure {
    target_name target;
    registration_version last; ///< the last one that the sender knows
    std::optional<std::chrono::milliseconds> sinceRemoval; ///< nothing while the target drains
};

} // namespace oriolepick
