/// \file
/// Where an exchange sends its answer.
#pragma once

#include "gateway/http_message.h"

#include <string_view>

namespace oriolepick {

/// The caller's side of one request. Exactly one of sendResponse, endStream and abortResponse ends the answer.
class response_sink {
public:
    virtual ~response_sink() = default;

    /// Sends a complete answer.
    virtual void sendResponse(const http_response_head& head, std::string_view body) = 0;

    /// Starts an answer of unknown length.
    virtual void beginStream(const http_response_head& head) = 0;

    virtual void sendChunk(std::string_view bytes) = 0;

    /// Ends a streamed answer as complete.
    virtual void endStream() = 0;

    /// Ends the answer in a way that cannot look complete.
    virtual void abortResponse() = 0;

    /// \return bytes that the caller has not taken yet
    virtual std::size_t unsentBytes() const = 0;

    /// \return whether the memory of all connections allows to queue more here
    virtual bool canQueueMore() const = 0;
};

} // namespace oriolepick
