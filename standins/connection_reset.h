/// \file
/// Breaks the connection of a request that an emulator handles.
#pragma once

namespace httplib {
struct Request;
}

namespace oriolepick {

/// Resets the connection on which \p request arrived, so that the caller gets no byte of a response that follows.
/// The HTTP library does not give handlers the socket; it is found by its two ports.
void resetConnectionOf(const httplib::Request& request);

} // namespace oriolepick
