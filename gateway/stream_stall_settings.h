/// \file
/// Time limits of a stream without events: when its target is probed, and when the target is considered lost.
#pragma once

#include "core/stall_detector.h"

namespace oriolepick {

/// \param longestGap longest pause between events that the route allows
/// \return limits after which a stream moves to another target although the current one responds to probes
stall_settings streamStallSettings(std::chrono::milliseconds longestGap);

/// \return time without events after which the target is probed
std::chrono::milliseconds probeDelay(std::chrono::milliseconds longestGap);

/// \return time limit for the response to a probe
std::chrono::milliseconds probeTimeout(std::chrono::milliseconds longestGap);

} // namespace oriolepick
