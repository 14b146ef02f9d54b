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

/// A message with what the driver adds to it.
struct place_datagram {
    place_message message;
    /// Of place_request: hash that is equal for every sending of the request by its caller, 0 if unknown. The allocator
    /// recognizes the callers that it has refused, which return to any node.
    std::uint64_t request = 0;
};

/// Lists that are longer than decode() accepts are cut.
void encode(const place_datagram& datagram, wire::place& out);

/// \return the message, or nothing when a name is empty or overlong, a list is too long, the shard does not exist, or a
/// number or time is out of range
std::optional<place_datagram> decode(const wire::place& in);

} // namespace oriolepick
