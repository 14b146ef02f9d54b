// A listening socket that takes connections and never answers, like the kernel of a paused process.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace oriolepick {

class silent_listener {
public:
    silent_listener()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ::bind(m_socket, reinterpret_cast<sockaddr*>(&address), size);
        ::listen(m_socket, 16);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    ~silent_listener()
    {
        ::close(m_socket);
        if (m_connection >= 0)
            ::close(m_connection);
    }

    const std::string& address() const { return m_address; }

    /// Waits until a request begins to arrive.
    void waitForRequest()
    {
        m_connection = ::accept(m_socket, nullptr, nullptr);
        char byte = 0;
        [[maybe_unused]] const auto size = ::recv(m_connection, &byte, 1, MSG_PEEK);
    }

private:
    int m_socket;
    int m_connection = -1;
    std::string m_address;
};

} // namespace oriolepick
