#include "gateway/send_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace oriolepick {

std::optional<send_state> readSendState(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    int unacknowledged = 0;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < sizeof info
        || ioctl(socket, SIOCOUTQ, &unacknowledged) != 0)
        return std::nullopt;
    send_state state;
    state.unacknowledgedBytes = static_cast<std::size_t>(unacknowledged);
    // Probes of the window carry no data, and are counted until one is answered.
    state.awaitsAcknowledgement = info.tcpi_probes > 0 || info.tcpi_last_data_sent < info.tcpi_last_ack_recv;
    state.probesWindow = unacknowledged > 0 && info.tcpi_unacked == 0;
    state.sinceAcknowledgement = std::chrono::milliseconds(info.tcpi_last_ack_recv);
    state.sinceData = std::chrono::milliseconds(info.tcpi_last_data_sent);
    return state;
}

std::size_t unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace oriolepick
