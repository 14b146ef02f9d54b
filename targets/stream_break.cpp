#include "targets/stream_break.h"

#include <array>
#include <cstddef>

namespace oriolepick {

namespace {

    constexpr std::array<std::string_view, 13> Words { "connect_refused", "not_sent", "not_loaded", "queue_full",
        "draining", "invalid", "reset", "truncated", "superseded", "malformed", "unknown_attempt", "timeout",
        "aborted" };
    static_assert(static_cast<std::size_t>(stream_break::Aborted) + 1 == Words.size());

} // namespace

bool provenNotRun(stream_break reason)
{
    return reason <= stream_break::Invalid;
}

std::string_view toString(stream_break reason)
{
    return Words[static_cast<std::size_t>(reason)];
}

} // namespace oriolepick
