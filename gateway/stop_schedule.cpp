#include "gateway/stop_schedule.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Time for which new connections are accepted. A load balancer that probes once a second and requires two failures
    /// has removed this node by then.
    constexpr std::chrono::milliseconds ListenAfterStop { 2'600 };
    constexpr int ListenDivisor = 3; ///< of a short grace period, two thirds remain for the last requests
    /// The first requests of connections that were accepted last arrive within a few round trips.
    constexpr std::chrono::milliseconds LastFirstRequests { 300 };
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
    const auto listenUntil = stoppedAt + std::min(ListenAfterStop, grace / ListenDivisor);
    return { listenUntil, listenUntil + LastFirstRequests, std::max(cutUntil - grace / CutDivisor, lastPart),
        cutUntil };
}

} // namespace oriolepick
