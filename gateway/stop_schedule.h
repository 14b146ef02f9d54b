/// \file
/// Times of a planned stop of a gateway.
#pragma once

#include "core/instant.h"

namespace oriolepick {

/// What a planned stop still takes, and when requests are ended that outlast its grace period.
struct stop_schedule {
    instant listenUntil; ///< new connections are accepted
    /// Requests come on kept connections only, and their callers can reach other nodes: from here on, only what is
    /// certain to end in time is passed on to a target.
    instant certainFrom;
    instant cutFrom; ///< the last requests are ended one after another from here on
    instant cutUntil; ///< all requests are ended
};

/// \param stoppedAt time of the stop signal
/// \param grace time until the process is killed
/// \return times within the last sixth of \p grace: callers may count on an answer to work that ends before
stop_schedule makeStopSchedule(instant stoppedAt, std::chrono::milliseconds grace);

} // namespace oriolepick
