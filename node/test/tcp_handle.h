/// \file
/// A TCP connection on loopback whose bytes and end a test decides itself.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

namespace oriolepick {

/// Owns one socket; blocking.
class tcp_handle {
public:
    explicit tcp_handle(int descriptor = -1)
        : m_descriptor(descriptor)
    {
    }
    tcp_handle(tcp_handle&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    tcp_handle& operator=(tcp_handle&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }
    ~tcp_handle() { close(); }

    /// \param backlog connections that wait to be accepted; while there are more, further connects get no answer
    /// \return a socket that listens on a free port of loopback
    static tcp_handle listening(int backlog = SOMAXCONN)
    {
        tcp_handle handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto address = loopback(0);
        ::bind(handle.m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        ::listen(handle.m_descriptor, backlog);
        return handle;
    }

    /// \param address "127.0.0.1:port"
    /// \return a connection, not valid() when nobody listens
    static tcp_handle connected(const std::string& address)
    {
        tcp_handle handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const auto target = loopback(std::atoi(address.substr(address.rfind(':') + 1).c_str()));
        if (::connect(handle.m_descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0)
            handle.close();
        return handle;
    }

    /// \return a socket whose connect to \p port of loopback has begun
    static tcp_handle connecting(std::uint16_t port)
    {
        tcp_handle handle(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        const auto target = loopback(port);
        (void)::connect(handle.m_descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof target);
        return handle;
    }

    tcp_handle accept() const { return tcp_handle(::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC)); }

    /// Blocks until bytes or the end have arrived.
    /// \return whether bytes have arrived
    bool waitReadable() const
    {
        char next = 0;
        return ::recv(m_descriptor, &next, sizeof next, MSG_PEEK) == 1;
    }

    bool valid() const { return m_descriptor >= 0; }
    int descriptor() const { return m_descriptor; }
    void shutdown() const { ::shutdown(m_descriptor, SHUT_RDWR); }
    void endOutput() const { ::shutdown(m_descriptor, SHUT_WR); }

    /// Ends the connection; its peer sees a reset instead of an end.
    void reset()
    {
        const linger immediate { 1, 0 };
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        close();
    }

    std::uint16_t localPort() const
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    /// \return whether all bytes were taken by the kernel
    bool write(std::string_view bytes) const
    {
        while (!bytes.empty()) {
            const auto written = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (written <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(written));
        }
        return true;
    }

    /// \return one message with the body that its Content-Length names; what arrived before the end if it is cut
    std::string readMessage() const
    {
        std::string message;
        for (;;) {
            const auto head = message.find("\r\n\r\n");
            if (head != std::string::npos && message.size() >= head + 4 + bodyLength(message.substr(0, head)))
                return message;
            if (!readMore(message))
                return message;
        }
    }

    /// \return \p count bytes or a few more, or what arrived before the end
    std::string read(std::size_t count) const
    {
        std::string bytes;
        while (bytes.size() < count && readMore(bytes)) { }
        return bytes;
    }

    /// \return everything up to the end of the connection
    std::string readAll() const
    {
        std::string bytes;
        while (readMore(bytes)) { }
        return bytes;
    }

private:
    static sockaddr_in loopback(int port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }

    static std::size_t bodyLength(const std::string& head)
    {
        constexpr std::string_view Name = "\r\nContent-Length: ";
        const auto found = head.find(Name);
        return found == std::string::npos ? 0 : std::strtoul(head.c_str() + found + Name.size(), nullptr, 10);
    }

    bool readMore(std::string& bytes) const
    {
        char buffer[4096];
        const auto received = ::recv(m_descriptor, buffer, sizeof buffer, 0);
        if (received <= 0)
            return false;
        bytes.append(buffer, static_cast<std::size_t>(received));
        return true;
    }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }

    int m_descriptor;
};

} // namespace oriolepick
