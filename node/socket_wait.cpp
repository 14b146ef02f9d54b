#include "node/socket_wait.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>

namespace oriolepick {

bool waitForSocket(int socket, short events, std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    for (;;) {
        const auto left
            = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        pollfd polled { socket, events, 0 };
        const int ready = ::poll(&polled, 1, static_cast<int>(std::max<decltype(left)>(left, 0)));
        if (ready >= 0 || errno != EINTR)
            return ready > 0;
    }
}

} // namespace oriolepick
