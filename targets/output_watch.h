/// \file
/// Tells a peer that takes output slowly from one that takes none.
#pragma once

#include <cstddef>

namespace oriolepick {

/// Watches what the peer of a TCP connection has acknowledged while its thread waits. A socket becomes writable only
/// once a third of its buffer is free, which a slow reader may take long for.
class output_watch {
public:
    explicit output_watch(int socket);

    /// \return whether the peer has acknowledged bytes since the last call, or since the construction
    bool hasProgressed();

    /// \return bytes that the peer had not acknowledged at the last call
    std::size_t unacknowledgedBytes() const { return m_unacknowledged; }

private:
    std::size_t read() const;

    int m_socket;
    std::size_t m_unacknowledged;
};

} // namespace oriolepick
