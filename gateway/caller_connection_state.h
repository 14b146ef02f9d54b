/// \file
/// Decides when the connection of a caller closes, so that no response is lost that is still being sent.
#pragma once

#include "core/instant.h"

#include <optional>

namespace oriolepick {

/// Phases of a caller's connection.
enum class caller_phase {
    Idle, ///< no byte of a request was received, and the kernel has all bytes of the last response
    Reading, ///< a request was received in part
    Serving, ///< a request is in progress
    Sending, ///< bytes of a complete response are queued; the next request may arrive
    Closing, ///< bytes of the last response are queued
    Lingering, ///< the last response was sent; input is discarded until the caller closes the connection
    Closed,
};

/// What follows a complete response.
enum class after_response {
    KeepOpen, ///< the next request is read
    Close, ///< the connection closes once the response is sent
};

/// What the owner of the connection does next.
enum class connection_action {
    None,
    ReadRequest, ///< read the next request
    ShutDownSending, ///< shut down the sending direction, and discard input until lingersUntil()
};

/// State machine of one connection. It is told what happens on the connection, and never closes it by itself.
class caller_connection_state {
public:
    /// \param openedAt when the connection was accepted
    explicit caller_connection_state(instant openedAt);

    /// \return until when a connection is held whose first request is to be rejected
    instant refusalDue() const { return m_openedAt + RefusalTimeout; }

    /// \return the phase; Reading and Serving also while bytes of an earlier response are queued
    caller_phase phase() const;

    /// Bytes of a request were received that is not complete.
    void receiveInput(instant now);

    /// Input was received and discarded, because the connection closes.
    void discardInput(instant now);

    /// A request was received completely.
    void startRequest(instant now);

    /// A response was handed over completely.
    /// \param unsent whether bytes of it are queued
    connection_action completeResponse(after_response next, bool unsent, instant now);

    /// The kernel has accepted all queued bytes.
    connection_action drain(instant now);

    /// The node has ended the request because it stops; the response is sent if there is still time.
    void endForStop() { m_endedForStop = true; }

    /// The connection was closed.
    void close();

    /// \return since when input of the caller is awaited; nothing while a request is in progress, bytes are queued or
    /// the connection closes
    std::optional<instant> waitingSince() const;

    /// \return when the last input arrived, or the last response was handed over or sent
    instant quietSince() const { return m_since; }

    /// \return until when the connection lingers, valid in that phase
    instant lingersUntil() const;

    /// \return whether a stopping node may close the connection without losing a request or a response
    bool mayCloseAtStop(instant now) const;

    /// \return whether the connection ends without further action
    bool isEnding() const;

private:
    /// A new connection is not closed by a stop for this time: the first request arrives within a few round trips.
    static constexpr std::chrono::milliseconds FirstRequestGrace { 300 };
    static constexpr std::chrono::milliseconds RefusalTimeout { 2'000 };
    /// From the last input on: a caller reads the last response within a round trip and closes.
    static constexpr std::chrono::milliseconds LingerTime { 500 };
    static constexpr std::chrono::milliseconds MaxLingerTime { 2'000 }; ///< for a caller that does not stop sending

    connection_action finish(instant now);

    instant m_openedAt;
    instant m_since; // the last input, or the last response or its last byte
    instant m_shutDownAt; // when the connection began to linger
    caller_phase m_phase = caller_phase::Idle; // Sending is derived from Idle and m_unsent
    bool m_unsent = false;
    bool m_requestReceived = false;
    bool m_endedForStop = false;
};

} // namespace oriolepick
