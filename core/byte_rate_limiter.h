/// \file
/// Bounds how many bytes a second a node spends on something that may be asked of it by many at once.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <cstddef>

namespace oriolepick {

/// Takes what the line would have sent within the backlog, and refuses the rest. Not synchronized.
class byte_rate_limiter {
public:
    /// \param bytesPerSecond at which the backlog shrinks
    /// \param maxBacklog beyond which nothing more is taken
    byte_rate_limiter(double bytesPerSecond, std::chrono::milliseconds maxBacklog);

    /// Takes \p bytes if the backlog allows it; a single one is always taken when there is none.
    bool tryTake(std::size_t bytes, instant now);

private:
    double m_bytesPerSecond;
    std::chrono::milliseconds m_maxBacklog;
    instant m_drainedAt; // when all that was taken has been sent
};

} // namespace oriolepick
