/// \file
/// The JSON form of POST /faults of the platform emulator.
#pragma once

#include "core/error.h"
#include "standins/fault_switch.h"

#include <string>
#include <string_view>

namespace oriolepick {

/// New faults of one service.
struct fault_order {
    std::string service; ///< "table", "objects", "instances" or "weights"
    platform_faults faults; ///< replaces all faults of that service; absent fields are off
};

/// Parses {"service","delay_before_ms","delay_after_ms","down","down_requests","lose_responses","lose_probability"}.
/// \return the order, or BadRequest naming the field
result<fault_order> parseFaultOrder(std::string_view body);

} // namespace oriolepick
