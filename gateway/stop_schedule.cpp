#include "gateway/stop_schedule.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Part of the grace period at its end, for the end of the process.
    constexpr std::chrono::milliseconds StopReserve { 400 };
    /// The last streams are aborted one after the other over the last 1/CutDivisor of the grace period, so that their
    /// callers do not all reconnect to other nodes at once.
    constexpr int CutDivisor = 10;
    constexpr int LastPartDivisor = 6; ///< work that goes on in the last sixth of the grace period may be cut

} // namespace

stop_schedule makeStopSchedule(instant stoppedAt, std::chrono::milliseconds grace)
{
    const auto lastPart = stoppedAt + grace - grace / LastPartDivisor;
    const auto cutUntil = std::max(stoppedAt + grace - StopReserve, lastPart);
    return { std::max(cutUntil - grace / CutDivisor, lastPart), cutUntil };
}

} // namespace oriolepick
