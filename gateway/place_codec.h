/// \file
/// Encodes and decodes the messages about places at targets. Decoding validates every field, since any host can send to
/// the port.
#pragma once

#include "routing/place_messages.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class place;
}

/// Lists that are longer than decode() accepts are cut.
void encode(const place_message& message, wire::place& out);

/// \return the message, or nothing when a name is empty or overlong, a list is too long, the shard does not exist, or a
/// number or time is out of range
std::optional<place_message> decode(const wire::place& in);

} // namespace oriolepick
