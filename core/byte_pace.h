/// \file
/// Limits the bytes per second that a node sends for responses that many peers may request at the same time.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <cstddef>

namespace oriolepick {

/// Leaky bucket: accepts messages while the backlog is within its limit and rejects the rest. Not synchronized.
class byte_pace {
public:
    /// \param bytesPerSecond rate at which the backlog drains
    /// \param maxBacklog backlog, as the time to drain it, above which messages are rejected
    byte_pace(double bytesPerSecond, std::chrono::milliseconds longestBacklog);

    /// Accepts a message of \p bytes unless the backlog exceeds its limit. Without a backlog a message of any size is
    /// accepted.
    /// \return whether the message was accepted
    bool take(std::size_t bytes, instant now);

private:
    double m_bytesPerSecond;
    std::chrono::milliseconds m_longestBacklog;
    instant m_sentBy; // when the backlog will be empty
};

} // namespace oriolepick
