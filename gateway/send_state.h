/// \file
/// What the kernel knows of the bytes that were sent on a connection.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

namespace oriolepick {

/// State of the sending direction of a connection.
struct send_state {
    std::size_t unacknowledgedBytes = 0;
    /// Something that the peer's kernel must acknowledge was sent after its last acknowledgement: data, or a probe of a
    /// window that is closed because the peer does not read.
    bool awaitsAcknowledgement = false;
    bool probesWindow = false; ///< the peer's window is closed, and the kernel asks for its state at growing intervals
    std::chrono::milliseconds sinceAcknowledgement { 0 };
    std::chrono::milliseconds sinceData { 0 }; ///< since data was sent last
};

/// \param socket descriptor of a TCP connection
/// \return the state; nothing where the system does not tell
std::optional<send_state> readSendState(int socket);

/// \param socket descriptor of a TCP connection
/// \return bytes in the kernel that the peer has not acknowledged; 0 where the system does not tell
std::size_t unacknowledgedBytes(int socket);

} // namespace oriolepick
