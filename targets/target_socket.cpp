#include "targets/target_socket.h"

#include "targets/call_abort.h"
#include "targets/output_watch.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds RefusalCheckPeriod { 20 };

    struct socket_address {
        sockaddr_storage storage {};
        socklen_t size = 0;
    };

    bool parseIp(const std::string& ip, int port, socket_address& address)
    {
        auto* const four = reinterpret_cast<sockaddr_in*>(&address.storage);
        if (::inet_pton(AF_INET, ip.c_str(), &four->sin_addr) == 1) {
            four->sin_family = AF_INET;
            four->sin_port = htons(static_cast<std::uint16_t>(port));
            address.size = sizeof *four;
            return true;
        }
        auto* const six = reinterpret_cast<sockaddr_in6*>(&address.storage);
        if (::inet_pton(AF_INET6, ip.c_str(), &six->sin6_addr) != 1)
            return false;
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(static_cast<std::uint16_t>(port));
        address.size = sizeof *six;
        return true;
    }

    std::string describe(int code)
    {
        return std::error_code(code, std::generic_category()).message();
    }

} // namespace

target_socket::target_socket(call_abort& abort, std::chrono::milliseconds idle, std::chrono::milliseconds total)
    : m_abort(abort)
    , m_idle(idle)
    , m_total(total)
{
}

target_socket::~target_socket()
{
    if (m_socket < 0)
        return;
    m_abort.releaseSocket();
    ::close(m_socket);
}

std::string target_socket::connect(const std::string& ip, int port, std::chrono::milliseconds timeout)
{
    socket_address address;
    if (!parseIp(ip, port, address))
        return "\"" + ip + "\" is not an IP address";
    m_socket = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (m_socket < 0)
        return describe(errno);
    const int enabled = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    m_abort.watchSocket(m_socket);
    if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&address.storage), address.size) == 0)
        return {};
    if (errno != EINPROGRESS) {
        m_refused = errno == ECONNREFUSED;
        return describe(errno);
    }
    if (!wait(POLLOUT, m_total.count() ? std::min(timeout, m_total) : timeout))
        return "connect timed out";
    int failure = 0;
    socklen_t size = sizeof failure;
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &failure, &size);
    m_refused = failure == ECONNREFUSED;
    return failure ? describe(failure) : std::string();
}

ssize_t target_socket::read(char* target, std::size_t size)
{
    if (m_unread.empty()) {
        const ssize_t filled = fill();
        if (filled <= 0)
            return filled;
    }
    const std::size_t count = std::min(size, m_unread.size());
    std::memcpy(target, m_unread.data(), count);
    m_unread.remove_prefix(count);
    return static_cast<ssize_t>(count);
}

ssize_t target_socket::write(const char* source, std::size_t size)
{
    if (m_dropsOutput)
        return static_cast<ssize_t>(size);
    if (!waitForOutput()) {
        m_dropsOutput = hasInput();
        if (m_dropsOutput)
            return static_cast<ssize_t>(size);
        m_end = socket_end::TimedOut;
        m_outputFault = isLate() ? "the request was not sent in time" : "the target takes nothing of the request";
        return -1;
    }
    ssize_t written = 0;
    do
        written = ::send(m_socket, source, size, MSG_NOSIGNAL);
    while (written < 0 && errno == EINTR);
    if (written < 0) {
        m_outputFailed = true;
        m_dropsOutput = m_sent && hasInput();
        if (m_dropsOutput)
            return static_cast<ssize_t>(size);
        m_end = socket_end::Failed;
    }
    if (written > 0 && !std::exchange(m_sent, true) && m_total.count())
        m_deadline = std::chrono::steady_clock::now() + m_total;
    return written;
}

bool target_socket::waitReadable()
{
    if (!m_unread.empty())
        return true;
    output_watch output(m_socket);
    while (!isLate()) {
        if (wait(POLLIN, m_idle))
            return true;
        // A target that still takes the request, however slowly, cannot answer yet.
        if (!output.hasProgressed())
            break;
    }
    return isLate() && hasArrived();
}

bool target_socket::waitWritable() const
{
    return !isLate() && wait(POLLOUT, m_idle);
}

bool target_socket::waitForOutput() const
{
    output_watch output(m_socket);
    auto limit = std::chrono::steady_clock::now() + m_idle;
    while (!isLate() && std::chrono::steady_clock::now() < limit) {
        if (wait(POLLOUT, RefusalCheckPeriod))
            return true;
        if (hasRefusal())
            return false;
        if (output.hasProgressed())
            limit = std::chrono::steady_clock::now() + m_idle;
    }
    return false;
}

// Targets may stream a successful answer while they read; after an error they may read no further (RFC 9112, 9.5).
bool target_socket::hasRefusal() const
{
    constexpr std::size_t StatusAt = std::string_view("HTTP/1.1 ").size();
    std::array<char, StatusAt + 1> begin {};
    const auto peeked = ::recv(m_socket, begin.data(), begin.size(), MSG_PEEK | MSG_DONTWAIT);
    return peeked == static_cast<ssize_t>(begin.size()) && (begin.back() == '4' || begin.back() == '5');
}

bool target_socket::hasInput() const
{
    char next = 0;
    return ::recv(m_socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool target_socket::isLate() const
{
    return m_deadline && std::chrono::steady_clock::now() >= *m_deadline;
}

// Counts the bytes once, so that an endless response ends.
bool target_socket::hasArrived()
{
    if (!m_arrivedBytes) {
        int unread = 0;
        m_arrivedBytes = ::ioctl(m_socket, FIONREAD, &unread) == 0 ? static_cast<std::size_t>(unread) : 0;
    }
    if (*m_arrivedBytes > 0)
        return true;
    char next = 0;
    return ::recv(m_socket, &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) == 0; // the peer has closed
}

bool target_socket::wait(short events, std::chrono::milliseconds timeout) const
{
    const auto deadline = std::min(std::chrono::steady_clock::now() + timeout, m_deadline.value_or(instant::max()));
    for (;;) {
        const auto left
            = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()).count();
        pollfd polled { m_socket, events, 0 };
        const int ready = ::poll(&polled, 1, static_cast<int>(std::max<decltype(left)>(left, 0)));
        if (ready >= 0 || errno != EINTR)
            return ready > 0;
    }
}

ssize_t target_socket::fill()
{
    if (m_end != socket_end::Open)
        return -1;
    if (!waitReadable()) {
        m_end = socket_end::TimedOut;
        return -1;
    }
    const auto size = std::min(m_buffer.size(), std::max<std::size_t>(1, m_arrivedBytes.value_or(m_buffer.size())));
    ssize_t received = 0;
    do
        received = ::recv(m_socket, m_buffer.data(), size, 0);
    while (received < 0 && errno == EINTR);
    // The reset that ended the output was reported there; after it, a body without length may have been cut.
    if (received == 0 && m_outputFailed)
        received = -1;
    if (m_arrivedBytes && received > 0)
        *m_arrivedBytes -= std::min(*m_arrivedBytes, static_cast<std::size_t>(received));
    if (received <= 0) {
        m_end = received ? socket_end::Failed : socket_end::Closed;
        return received;
    }
    m_unread = std::string_view(m_buffer.data(), static_cast<std::size_t>(received));
    if (m_guard.take(m_unread))
        return received;
    m_unread = {};
    m_end = socket_end::Refused;
    return -1;
}

} // namespace oriolepick
