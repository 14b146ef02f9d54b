/// \file
/// Waiting for one socket.
#pragma once

#include <chrono>

namespace oriolepick {

/// \param events of poll()
/// \return whether one of the events, an error or the end of the connection came within \p limit
bool waitForSocket(int socket, short events, std::chrono::milliseconds limit);

} // namespace oriolepick
