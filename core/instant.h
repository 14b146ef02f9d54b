/// \file
/// Points in time as data. The core never reads a clock: callers pass an instant into every decision.
#pragma once

#include <chrono>

namespace oriolepick {

/// Monotonic time, for timeouts and rates.
using instant = std::chrono::steady_clock::time_point;

/// Calendar time, for what is stored or shown (leases, cursors, tickets).
using wall_time = std::chrono::system_clock::time_point;

} // namespace oriolepick
