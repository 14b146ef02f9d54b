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
    ~call_abort();
    call_abort(const call_abort&) = delete;
    call_abort& operator=(const call_abort&) = delete;

    /// Ends the call that uses this handle, now or as soon as it starts. Thread-safe.
    void abort();

    /// \return whether abort() was called
    bool aborted() const;

    /// Used by adapters: makes abort() shut down \p socket. Holds a duplicate of the descriptor, so that a late abort
    /// cannot hit another connection that got the same number.
    void watchSocket(int socket);

    /// Used by adapters: ends the watch.
    void releaseSocket();

private:
    mutable std::mutex m_mutex;
    bool m_aborted = false;
    int m_socket = -1;
};

} // namespace oriolepick
