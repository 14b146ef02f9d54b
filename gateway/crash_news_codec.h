/// \file
/// Bytes of messages about requests that crash targets, with a check of everything a stranger could send.
#pragma once

#include "routing/crash_news.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class crash_news;
}

void encode(const crash_news& news, wire::crash_news& out);

/// \return the message, or nothing when it has too many notes, no names, or impossible ages
std::optional<crash_news> decode(const wire::crash_news& in);

} // namespace oriolepick
