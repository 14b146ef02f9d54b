/// \file
/// Encodes and decodes the messages about requests that crash targets. Decoding validates every field, since any
/// host can send to the port.
#pragma once

#include "routing/crash_news.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class crash_news;
}

void encode(const crash_news& news, wire::crash_news& out);

/// \return the message, or nothing when it has too many notes or sightings, an unknown purpose, an empty or overlong
/// target name, or an age out of range
std::optional<crash_news> decode(const wire::crash_news& in);

} // namespace oriolepick
