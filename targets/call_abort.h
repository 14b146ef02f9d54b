/// \file
/// Ends a blocked call to a target from another thread.
#pragma once

#include <mutex>

namespace oriolepick {

/// Handle of one call. abort() never blocks on the network, also when the target is paused or the connect is still
/// under way. One handle serves one call at a time; an aborted handle stays aborted.
class call_abort {
public:
    call_abort() = default;
    call_abort(const call_abort&) = delete;
    call_abort& operator=(const call_abort&) = delete;

    /// Ends the call that uses this handle, now or as soon as it starts. Thread-safe.
    void abort();

    /// \return whether abort() was called
    bool aborted() const;

    /// \return whether the call has a connection with bytes or an end that are not read yet. Thread-safe.
    bool hasPendingInput() const;

    /// Used by adapters: makes abort() shut down \p socket, also before and during its connect.
    void watchSocket(int socket);

    /// Used by adapters, before they close the socket: a late abort must not hit another connection that got the same
    /// descriptor.
    void releaseSocket();

private:
    mutable std::mutex m_mutex;
    bool m_aborted = false;
    int m_socket = -1;
};

} // namespace oriolepick
