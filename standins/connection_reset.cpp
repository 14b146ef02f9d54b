#include "standins/connection_reset.h"

#include <httplib.h>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace oriolepick {

namespace {

    int portOf(int (*query)(int, sockaddr*, socklen_t*), int socket)
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        if (query(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0 || address.sin_family != AF_INET)
            return -1;
        return ntohs(address.sin_port);
    }

} // namespace

void resetConnectionOf(const httplib::Request& request)
{
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    for (int socket = 0; socket < static_cast<int>(limit.rlim_cur); ++socket) {
        if (portOf(&::getpeername, socket) != request.remote_port
            || portOf(&::getsockname, socket) != request.local_port)
            continue;
        // Lingering for 0 s makes the close send a reset; the shutdown keeps the response from being written.
        const linger discard { 1, 0 };
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &discard, sizeof discard);
        ::shutdown(socket, SHUT_RDWR);
        return;
    }
}

} // namespace oriolepick
