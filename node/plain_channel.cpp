#include "node/plain_channel.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace oriolepick {

namespace {

    channel_outcome outcomeOf(ssize_t count, short wanted)
    {
        const bool retry = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
        return { count, retry ? wanted : short { 0 } };
    }

} // namespace

channel_outcome plain_channel::read(char* target, std::size_t size)
{
    return outcomeOf(::recv(m_socket, target, size, 0), POLLIN);
}

channel_outcome plain_channel::write(const char* source, std::size_t size)
{
    return outcomeOf(::send(m_socket, source, size, MSG_NOSIGNAL), POLLOUT);
}

void plain_channel::endOutput()
{
    ::shutdown(m_socket, SHUT_WR);
}

} // namespace oriolepick
