/// \file
/// Bytes of a caller's connection, plain or encrypted.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace oriolepick {

/// Outcome of one try to read or write.
struct channel_outcome {
    ssize_t count = -1; ///< bytes moved; 0 at the end of the input, negative when none could be moved
    short wanted = 0; ///< events of poll() after which a next try may succeed; 0 when the connection has failed
};

/// Never blocks. Its socket is non-blocking and belongs to the one who made the channel.
class byte_channel {
public:
    virtual ~byte_channel() = default;

    virtual channel_outcome read(char* target, std::size_t size) = 0;
    virtual channel_outcome write(const char* source, std::size_t size) = 0;

    /// Tells the peer that nothing more will be written; input can still be read.
    virtual void endOutput() = 0;

    virtual int descriptor() const = 0;
};

} // namespace oriolepick
