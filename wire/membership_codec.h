/// \file
/// Membership messages between core's structs and protobuf, with a check of everything a stranger could send.
#pragma once

#include "core/membership_messages.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class membership;
}

/// Writes \p message into \p out.
void encode(const membership_message& message, wire::membership& out);

/// \return the message, or nothing when a name is empty, a state unknown, the body missing or the list too long
std::optional<membership_message> decode(const wire::membership& in);

} // namespace oriolepick
