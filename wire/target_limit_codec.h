/// \file
/// Messages about the limits of targets between core's structs and protobuf, with a check of everything a stranger
/// could send.
#pragma once

#include "core/target_limit_messages.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class target_limit;
}

void encode(const target_limit_message& message, wire::target_limit& out);

/// \return the message, or nothing when a name is empty or too long, the body is missing, a limit is not one that
///     readLimit() returns, an owner is not an address, a count is negative or not finite, or a time is out of range
std::optional<target_limit_message> decode(const wire::target_limit& in);

} // namespace oriolepick
