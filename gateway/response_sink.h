/// \file
/// Interface through which an exchange sends the response to the caller.
#pragma once

#include "gateway/http_message.h"

#include <string_view>

namespace oriolepick {

/// Receives the response to one request. Exactly one of sendResponse(), endStream() and abortResponse() ends it.
class response_sink {
public:
    virtual ~response_sink() = default;

    /// Sends a complete response.
    virtual void sendResponse(const http_response_head& head, std::string_view body) = 0;

    /// Starts a response of unknown length.
    virtual void beginStream(const http_response_head& head) = 0;

    virtual void sendChunk(std::string_view bytes) = 0;

    /// Ends a streamed response as complete.
    virtual void endStream() = 0;

    /// Ends the response so that the caller cannot take it for complete.
    virtual void abortResponse() = 0;

    /// \return number of bytes that are queued and not yet sent to the caller
    virtual std::size_t unsentBytes() const = 0;

    /// \return whether the memory budget of all connections allows more bytes to be queued on this connection
    virtual bool canQueueMore() const = 0;
};

} // namespace oriolepick
