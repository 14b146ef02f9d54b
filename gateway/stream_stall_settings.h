/// \file
/// When a stream's silence is taken for the loss of its target.
#pragma once

#include "core/stall_detector.h"

namespace oriolepick {

/// \param longestGap the longest pause between events that the route allows
/// \return limits that leave a resume enough of that pause
stall_settings streamStallSettings(std::chrono::milliseconds longestGap);

} // namespace oriolepick
