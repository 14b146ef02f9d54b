// A listening socket that takes connections and never answers, like the kernel of a paused process, or sends given
// bytes.
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
        closeConnection();
    }

    const std::string& address() const { return m_address; }

    /// Waits until a request begins to arrive.
    void waitForRequest()
    {
        m_connection = ::accept(m_socket, nullptr, nullptr);
        char byte = 0;
        [[maybe_unused]] const auto size = ::recv(m_connection, &byte, 1, MSG_PEEK);
    }

    /// Takes one connection, waits for the end of a request's head, sends \p bytes and closes.
    void answerOnce(const std::string& bytes)
    {
        m_connection = ::accept(m_socket, nullptr, nullptr);
        std::string request;
        char buffer[4096];
        while (request.find("\r\n\r\n") == std::string::npos) {
            const auto size = ::recv(m_connection, buffer, sizeof buffer, 0);
            if (size <= 0)
                break;
            request.append(buffer, static_cast<std::size_t>(size));
        }
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(m_connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                break;
            sent += static_cast<std::size_t>(size);
        }
        ::shutdown(m_connection, SHUT_WR);
        closeConnection();
    }

private:
    void closeConnection()
    {
        if (m_connection >= 0)
            ::close(m_connection);
        m_connection = -1;
    }

    int m_socket;
    int m_connection = -1;
    std::string m_address;
};

} // namespace oriolepick
