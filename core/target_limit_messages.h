/// \file
/// Messages between nodes about the limits of targets. Each may be lost, late or repeated.
#pragma once

#include "core/names.h"
#include "core/target_limit.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace oriolepick {

/// A limit with the age of the response that named it, since the clocks of nodes differ.
struct limit_statement {
    target_limit limit;
    std::chrono::milliseconds age { 0 };
};

/// Requests a permit for one request to the target from the owner of its limit.
struct permit_request {
    std::uint64_t number = 0; ///< chosen by the sender, repeated in the answer
    limit_statement known; ///< what the sender knows of the limit
    double refused = 0; ///< requests refused for lack of a permit since the previous message
};

/// The owner's answer to a permit_request.
struct permit_answer {
    std::uint64_t number = 0;
    bool granted = false;
    limit_statement known; ///< what the owner knows of the limit
    std::chrono::milliseconds timeToNext { 0 }; ///< until there may be another permit
    std::chrono::milliseconds spread { 0 }; ///< time over which the returns of refused callers must be spread
};

/// States a limit that has begun, changed or ended, or that a node owns it.
struct limit_notice {
    limit_statement known;
    node_id owner; ///< the node that issues permits in its own view; empty in a notice to the owner
    bool ownerIsLocal = false; ///< the owner is in the zone of the target
};

/// A message about one target.
struct target_limit_message {
    limited_target target;
    availability_zone zone; ///< of the target, which decides the owner of its limit; empty if unknown
    std::variant<permit_request, permit_answer, limit_notice> body;
};

} // namespace oriolepick
