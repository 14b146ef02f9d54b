/// \file
/// Time points. The core never reads a clock: the time is passed to each function that depends on it.
#pragma once

#include <chrono>

namespace oriolepick {

/// Monotonic time, for timeouts and rates.
using instant = std::chrono::steady_clock::time_point;

/// Calendar time, for stored or displayed values (leases, cursors, tickets).
using wall_time = std::chrono::system_clock::time_point;

} // namespace oriolepick
