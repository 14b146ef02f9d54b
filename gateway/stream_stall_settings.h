/// \file
/// When a stream's silence is looked into, and when it is taken for the loss of its target.
#pragma once

#include "core/stall_detector.h"

namespace oriolepick {

/// \param longestGap the longest pause between events that the route allows
/// \return limits after which a stream is moved although its target answers probes
stall_settings streamStallSettings(std::chrono::milliseconds longestGap);

/// \return the silence after which the target is asked whether it is alive
std::chrono::milliseconds probeDelay(std::chrono::milliseconds longestGap);

/// \return the time for its answer
std::chrono::milliseconds probeTimeout(std::chrono::milliseconds longestGap);

} // namespace oriolepick
