/// \file
/// Estimates how long messages of other nodes were delayed on the way, without synchronized clocks.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <chrono>
#include <cstddef>
#include <map>

namespace oriolepick {

/// Compares the difference between the clocks of sender and receiver with the least one seen lately: what exceeds it is
/// time in queues, of a slow link or of a node that was not scheduled. Not synchronized.
class transit_delay {
public:
    /// \param from the sender
    /// \param sentAt time by the monotonic clock of the sender
    /// \param now time at which the message is processed
    /// \return the delay beyond the usual one; zero for the first message of a sender
    std::chrono::milliseconds excess(const node_id& from, std::chrono::milliseconds sentAt, instant now);

private:
    struct difference {
        std::chrono::milliseconds least; // in the current window
        std::chrono::milliseconds leastBefore; // in the window before
        instant windowStart;
    };

    void removeExpired(instant now);

    std::map<node_id, difference> m_differences;
};

} // namespace oriolepick
