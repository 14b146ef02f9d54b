/// \file
/// Priority of a request, used by placement, the admission queue and concurrency limits.
#pragma once

#include <cstddef>
#include <cstdint>

namespace oriolepick {

/// Priority of a request; a higher value is served first.
enum class request_priority : std::uint8_t { Bulk, Normal, Urgent };

/// Number of priorities.
inline constexpr std::size_t PriorityCount = 3;

/// \return the index of \p priority in arrays of PriorityCount elements
constexpr std::size_t indexOf(request_priority priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace oriolepick
