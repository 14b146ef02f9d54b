/// \file
/// The faults of the call tests and the steps at which they strike.
#pragma once

namespace oriolepick {

/// What goes wrong at one step.
enum class call_fault {
    None,
    TableDown, ///< refused without effect
    TableLost, ///< took effect, response lost
    TableHeld, ///< response lost, takes effect later
    Slow, ///< the step takes 3 s
    Pause, ///< the node stops for 6 s before the step
    Crash, ///< the node dies before the step and restarts
    Refused, ///< the target refuses the connection
    ResetBeforeBody, ///< connection reset, not run
    ResetAfterBody, ///< run, connection reset
    RunsLate, ///< reported as broken, runs 2 s later
    MessageLost, ///< a message between nodes is dropped
    Count,
};

/// Where a fault strikes.
enum class call_step { Commit, Read, Place, Send, Answer, Ask, Tell, Count };

} // namespace oriolepick
