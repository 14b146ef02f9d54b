/// \file
/// TCP connection to a target.
#pragma once

#include "core/instant.h"
#include "targets/response_guard.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace oriolepick {

class call_abort;

/// Why a connection gives no more bytes.
enum class socket_end { Open, Closed, Failed, TimedOut, Refused };

/// One connection, used by one thread; call_abort ends it from another.
class target_socket {
public:
    /// \param idle longest wait for one read or write
    /// \param total longest time from the first byte written to the last byte read, 0 for no limit. Bytes and an end
    /// that have arrived when the limit is found to have passed are still read.
    target_socket(call_abort& abort, std::chrono::milliseconds idle, std::chrono::milliseconds total);
    ~target_socket();
    target_socket(const target_socket&) = delete;
    target_socket& operator=(const target_socket&) = delete;

    /// \param ip literal IPv4 or IPv6 address
    /// \return what went wrong, empty for nothing
    std::string connect(const std::string& ip, int port, std::chrono::milliseconds timeout);

    /// \return bytes read, or 0 or less at the end, see end()
    ssize_t read(char* target, std::size_t size);

    /// Once the target has answered and takes no more of the request, the rest of the request is dropped, so that the
    /// answer can be read; the connection is of no use for another request then.
    /// \return bytes written or dropped, or less than 0 at the end
    ssize_t write(const char* source, std::size_t size);

    bool waitReadable();
    bool waitWritable() const;

    /// Notes that a piece of the body was given out, see response_guard.
    void noteProgress() { m_guard.noteProgress(); }

    socket_end end() const { return m_end; }
    /// \return what was wrong with the response, see response_guard, or why the request was not sent; empty for nothing
    const std::string& fault() const { return m_outputFault.empty() ? m_guard.fault() : m_outputFault; }
    bool wasRefused() const { return m_refused; } ///< connect() found that nobody listens
    bool hasSent() const { return m_sent; } ///< whether any byte left this process
    int descriptor() const { return m_socket; }

private:
    bool wait(short events, std::chrono::milliseconds timeout) const;
    bool waitForOutput() const;
    bool hasRefusal() const;
    bool hasInput() const;
    bool isLate() const;
    bool hasArrived();
    ssize_t fill();

    call_abort& m_abort;
    const std::chrono::milliseconds m_idle;
    const std::chrono::milliseconds m_total;
    std::optional<instant> m_deadline; ///< once a byte was written
    std::optional<std::size_t> m_arrivedBytes; ///< unread when the deadline was found to have passed
    int m_socket = -1;
    bool m_sent = false;
    bool m_dropsOutput = false; ///< the target answered before it took the whole request
    bool m_outputFailed = false;
    bool m_refused = false;
    std::string m_outputFault;
    socket_end m_end = socket_end::Open;
    response_guard m_guard;
    std::array<char, 8192> m_buffer;
    std::string_view m_unread; ///< part of \c m_buffer
};

} // namespace oriolepick
