/// \file
/// Encodes and decodes the messages about rollouts of versions. Decoding validates every field, since any host can send
/// to the port.
#pragma once

#include "routing/rollout_messages.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class rollout;
}

void encode(const rollout_message& message, wire::rollout& out);

/// \return the message, or nothing when it has an empty or overlong service name, too many cells, a route, phase or
/// share out of range, or counts that contradict each other or exceed any real load
std::optional<rollout_message> decode(const wire::rollout& in);

} // namespace oriolepick
