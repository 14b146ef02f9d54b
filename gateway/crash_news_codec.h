/// \file
/// Encodes and decodes the messages about requests that crash targets. Decoding validates every field, since any
/// host can send to the port.
#pragma once

#include "routing/crash_news.h"
#include "routing/crash_record.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

namespace wire {
    class crash_news;
}

void encode(const crash_news& news, wire::crash_news& out);

/// \return the message, or nothing when it has too many notes or sightings, an unknown purpose, an empty or overlong
/// target name, or an age out of range
std::optional<crash_news> decode(const wire::crash_news& in);

/// \return the bytes of the record; the last notes are left out if they do not fit into \p maxBytes
std::string encodeCrashRecord(const crash_record& record, std::size_t maxBytes);

/// \return the record, or nothing if it is malformed
std::optional<crash_record> decodeCrashRecord(std::string_view bytes);

} // namespace oriolepick
