/// \file
/// Decides when an idle connection of a caller may be closed while the configured limit changes.
#pragma once

#include "core/instant.h"

#include <deque>

namespace oriolepick {

/// The limits in force so far. Callers reuse a connection for a part of the limit that they know, so a shorter limit
/// counts from when they know it; a longer one applies to connections that are idle already.
class idle_limit {
public:
    /// \param initial limit before the first configuration
    explicit idle_limit(std::chrono::milliseconds initial);

    /// The configuration in force limits the idle time of connections to \p limit.
    void apply(std::chrono::milliseconds limit, instant now);

    /// \param idleSince when the connection became idle
    /// \param learningTime time after which callers know a limit that is in force here
    /// \return when the connection may be closed
    instant dueAt(instant idleSince, std::chrono::milliseconds learningTime) const;

private:
    /// The oldest, longest limits are dropped beyond this number; connections then stay open by the next shorter one,
    /// which counts from later.
    static constexpr std::size_t MaxLimits = 16;

    struct dated_limit {
        std::chrono::milliseconds limit;
        instant since; // epoch of the first limit, which callers have always known
    };

    std::deque<dated_limit> m_limits; // ever shorter, each in force since later
};

} // namespace oriolepick
