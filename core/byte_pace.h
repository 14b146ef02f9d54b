/// \file
/// Bounds how many bytes a second a node spends on something that may be asked of it by many at once.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <cstddef>

namespace oriolepick {

/// Takes what the line would have sent within the backlog, and refuses the rest. Not synchronized.
class byte_pace {
public:
    /// \param bytesPerSecond at which the backlog shrinks
    /// \param longestBacklog beyond which nothing more is taken
    byte_pace(double bytesPerSecond, std::chrono::milliseconds longestBacklog);

    /// Takes \p bytes if the backlog allows it; a single one is always taken when there is none.
    bool take(std::size_t bytes, instant now);

private:
    double m_bytesPerSecond;
    std::chrono::milliseconds m_longestBacklog;
    instant m_sentBy; // when all that was taken has been sent
};

} // namespace oriolepick
