/// \file
/// Limits the bytes per second that a node sends for responses that many peers may request at the same time.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <cstddef>

namespace oriolepick {

/// Leaky bucket: accepts messages while the backlog is within its limit and rejects the rest. Not synchronized.
class byte_rate_limiter {
public:
    /// \param bytesPerSecond rate at which the backlog drains
    /// \param maxBacklog backlog, as the time to drain it, above which messages are rejected
    byte_rate_limiter(double bytesPerSecond, std::chrono::milliseconds maxBacklog);

    /// Accepts a message of \p bytes unless the backlog exceeds its limit. Without a backlog a message of any size is
    /// accepted.
    /// \return whether the message was accepted
    bool tryTake(std::size_t bytes, instant now);

private:
    double m_bytesPerSecond;
    std::chrono::milliseconds m_maxBacklog;
    instant m_drainedAt; // when the backlog will be empty
};

} // namespace oriolepick
