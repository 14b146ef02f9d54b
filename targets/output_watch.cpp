#include "targets/output_watch.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <utility>

namespace oriolepick {

output_watch::output_watch(int socket)
    : m_socket(socket)
    , m_unacknowledged(read())
{
}

bool output_watch::hasProgressed()
{
    const auto before = std::exchange(m_unacknowledged, read());
    return m_unacknowledged < before;
}

std::size_t output_watch::read() const
{
    int bytes = 0;
    return ::ioctl(m_socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace oriolepick
