/// \file
/// A registered target as rollouts see it.
#pragma once

#include "core/names.h"
#include "routing/routing_names.h"

#include <string>

namespace oriolepick {

/// A registered target of a service.
struct rollout_target {
    target_name name;
    availability_zone zone;
    std::string version;
};

} // namespace oriolepick
