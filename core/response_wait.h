/// \file
/// Time limit for the response of a peer, judged by a process that may itself run late.
#pragma once

#include "core/instant.h"

#include <optional>

namespace oriolepick {

/// Decides when a peer that does not respond counts as unresponsive. The time in which this process did not get round
/// to its connections says nothing about the peer: the limit counts from what was really sent or received, and a peer
/// whose input waits to be read is not unresponsive. Pure: the owner sets a timer for due() and calls isUnresponsive().
class response_wait {
public:
    /// \param limit longest time without a response
    /// \param now start of the wait
    response_wait(std::chrono::milliseconds limit, instant now);

    /// Restarts the limit, because something was sent to the peer or received from it.
    void restart(instant now);

    /// \return the time of the next check
    instant due() const { return m_due; }

    /// Checks the limit. When the result is false, due() is the time of the next check.
    /// \param inputPending the peer has accepted the connection, sent bytes or closed, and it is not handled yet
    /// \return whether the peer counts as unresponsive
    bool isUnresponsive(instant now, bool inputPending);

private:
    std::chrono::milliseconds m_limit;
    instant m_due;
    std::optional<instant> m_deferredSince; // the first check that was put off
};

} // namespace oriolepick
