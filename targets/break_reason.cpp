#include "targets/break_reason.h"

#include <array>
#include <cstddef>

namespace oriolepick {

namespace {

    constexpr std::array<std::string_view, 12> Words { "connect_refused", "not_loaded", "queue_full", "draining",
        "invalid", "reset", "truncated", "superseded", "malformed", "unknown_attempt", "timeout", "aborted" };
    static_assert(static_cast<std::size_t>(break_reason::Aborted) + 1 == Words.size());

} // namespace

bool provenNotRun(break_reason reason)
{
    return reason <= break_reason::Invalid;
}

std::string_view toString(break_reason reason)
{
    return Words[static_cast<std::size_t>(reason)];
}

} // namespace oriolepick
