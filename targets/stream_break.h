/// \file
/// Why a stream from an engine ended without its end event.
#pragma once

#include <string_view>

namespace oriolepick {

/// Closed list of reasons.
enum class stream_break {
    ConnectRefused, ///< Nothing listens at the target's address: proven not run.
    NotSent, ///< No byte was sent, which says nothing about the target: proven not run.
    NotLoaded, ///< Rejected: other model, version or adapter: proven not run.
    QueueFull, ///< Rejected: the engine's queue is full: proven not run.
    Draining, ///< Rejected: the engine takes no new work: proven not run.
    Invalid, ///< Rejected: the engine found a fault in the request's form: proven not run.
    Reset, ///< The connection ended in the middle of the request or response.
    Truncated, ///< The response ended in good order but without an end event.
    Superseded, ///< A reader with a higher epoch took over the attempt, which goes on.
    Malformed, ///< The engine broke the protocol.
    UnknownAttempt, ///< The engine has no such attempt.
    Timeout, ///< No byte arrived in time.
    Aborted, ///< This process ended the call through its call_abort.
};

/// \return whether an attempt whose start() ended so is proven not to have run and not to run later
bool provenNotRun(stream_break reason);

/// \return a word for logs and metric labels, for example "connect_refused"
std::string_view toString(stream_break reason);

} // namespace oriolepick
