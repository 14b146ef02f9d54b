#include "targets/call_abort.h"

#include <poll.h>
#include <sys/socket.h>

namespace oriolepick {

void call_abort::abort()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_aborted = true;
    if (m_socket >= 0)
        ::shutdown(m_socket, SHUT_RDWR);
}

bool call_abort::aborted() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_aborted;
}

bool call_abort::hasPendingInput() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    pollfd polled { m_socket, POLLIN, 0 }; // poll() skips a negative descriptor
    return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLIN);
}

void call_abort::watchSocket(int socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_socket = socket;
    if (m_aborted)
        ::shutdown(m_socket, SHUT_RDWR);
}

void call_abort::releaseSocket()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_socket = -1;
}

} // namespace oriolepick
