#include "node/caller_stream.h"

#include "node/byte_channel.h"
#include "node/node_log.h"
#include "node/socket_wait.h"
#include "targets/output_watch.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

namespace oriolepick {

namespace {

    /// Callers that have an answer and its end close at once; others may not hold the thread.
    constexpr std::chrono::milliseconds MaxTimeOfUnreadInput { 500 };

    constexpr std::chrono::milliseconds CutCheckPeriod { 100 };

    using address_query = int (*)(int, sockaddr*, socklen_t*);

    void describeEnd(int socket, address_query query, std::string& ip, int& port)
    {
        sockaddr_storage address {};
        socklen_t size = sizeof address;
        if (query(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            return;
        std::array<char, INET6_ADDRSTRLEN> text {};
        if (address.ss_family == AF_INET6) {
            const auto& six = reinterpret_cast<const sockaddr_in6&>(address);
            ::inet_ntop(AF_INET6, &six.sin6_addr, text.data(), text.size());
            port = ntohs(six.sin6_port);
        } else {
            const auto& four = reinterpret_cast<const sockaddr_in&>(address);
            ::inet_ntop(AF_INET, &four.sin_addr, text.data(), text.size());
            port = ntohs(four.sin_port);
        }
        ip = text.data();
    }

} // namespace

caller_stream::caller_stream(byte_channel& channel, std::chrono::milliseconds readLimit,
    std::chrono::milliseconds writeLimit, const std::atomic<bool>& cut)
    : m_channel(channel)
    , m_readLimit(readLimit)
    , m_writeLimit(writeLimit)
    , m_cut(cut)
{
}

bool caller_stream::waitForRequest(std::chrono::milliseconds limit)
{
    if (!m_unread.empty())
        return true;
    const auto received = receive(m_buffer.data(), m_buffer.size(), limit);
    if (received <= 0)
        return false;
    m_unread = std::string_view(m_buffer.data(), static_cast<std::size_t>(received));
    return true;
}

void caller_stream::finish()
{
    m_channel.endOutput();
    m_expected -= std::min<std::uint64_t>(m_expected, m_unread.size());
    m_unread = {};
    const auto deadline = std::chrono::steady_clock::now() + MaxTimeOfUnreadInput;
    while (m_expected > 0 || hasUnreadInput()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !waitForSocket(socket(), POLLIN, left))
            return;
        const auto dropped = ::recv(socket(), m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        if (dropped <= 0)
            return;
        m_expected -= std::min(m_expected, static_cast<std::uint64_t>(dropped));
    }
}

bool caller_stream::is_readable() const
{
    return !m_unread.empty() || waitForSocket(socket(), POLLIN, m_readLimit);
}

bool caller_stream::is_writable() const
{
    char next = 0;
    if (::recv(socket(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT) == 0)
        return false;
    return waitForOutput(POLLOUT);
}

ssize_t caller_stream::read(char* target, std::size_t size)
{
    if (m_allowed == 0)
        return -1;
    const auto count = readUnlimited(target, static_cast<std::size_t>(std::min<std::uint64_t>(size, m_allowed)));
    if (count > 0) {
        m_expected -= std::min(m_expected, static_cast<std::uint64_t>(count));
        m_allowed -= static_cast<std::uint64_t>(count);
    }
    return count;
}

ssize_t caller_stream::readUnlimited(char* target, std::size_t size)
{
    if (m_unread.empty() && size >= m_buffer.size())
        return receive(target, size, m_readLimit);
    if (m_unread.empty()) {
        const auto received = receive(m_buffer.data(), m_buffer.size(), m_readLimit);
        if (received <= 0)
            return received;
        m_unread = std::string_view(m_buffer.data(), static_cast<std::size_t>(received));
    }
    const auto count = m_unread.copy(target, size);
    m_unread.remove_prefix(count);
    return static_cast<ssize_t>(count);
}

ssize_t caller_stream::write(const char* source, std::size_t size)
{
    for (;;) {
        const auto outcome = m_channel.write(source, size);
        if (outcome.count > 0 || size == 0)
            return std::max<ssize_t>(outcome.count, 0);
        if (!outcome.wanted) {
            logInfo("caller_ended", { { "reason", "connection_failed" } });
            return -1;
        }
        if (!waitForOutput(outcome.wanted))
            return -1;
    }
}

bool caller_stream::waitForOutput(short events) const
{
    output_watch output(socket());
    auto limit = std::chrono::steady_clock::now() + m_writeLimit;
    while (!waitForSocket(socket(), events, CutCheckPeriod)) {
        if (output.hasProgressed())
            limit = std::chrono::steady_clock::now() + m_writeLimit;
        if (m_cut || std::chrono::steady_clock::now() >= limit) {
            logInfo("caller_ended",
                { { "reason", m_cut ? "node_stops" : "unread" },
                    { "untaken_bytes", std::to_string(output.unacknowledgedBytes()) } });
            return false;
        }
    }
    return true;
}

void caller_stream::get_remote_ip_and_port(std::string& ip, int& port) const
{
    describeEnd(socket(), &::getpeername, ip, port);
}

void caller_stream::get_local_ip_and_port(std::string& ip, int& port) const
{
    describeEnd(socket(), &::getsockname, ip, port);
}

socket_t caller_stream::socket() const
{
    return m_channel.descriptor();
}

ssize_t caller_stream::receive(char* target, std::size_t size, std::chrono::milliseconds limit)
{
    for (;;) {
        const auto outcome = m_channel.read(target, size);
        if (outcome.count >= 0)
            return outcome.count;
        if (!outcome.wanted || !waitForSocket(socket(), outcome.wanted, limit))
            return -1;
    }
}

bool caller_stream::hasUnreadInput() const
{
    int unread = 0;
    return ::ioctl(socket(), FIONREAD, &unread) == 0 && unread > 0;
}

} // namespace oriolepick
