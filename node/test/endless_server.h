/// \file
/// A server on loopback that sends endless responses.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace oriolepick {

/// The bytes of an endless response: a prefix, then one text again and again.
struct endless_response {
    std::string prefix;
    std::string repeated;
    std::chrono::milliseconds pause { 0 }; ///< between repetitions
};

/// Answers each connection with the next of its responses, until the connection is closed.
class endless_server {
public:
    explicit endless_server(std::vector<endless_response> responses)
        : m_responses(std::move(responses))
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ::bind(m_socket, reinterpret_cast<sockaddr*>(&address), size);
        ::listen(m_socket, 256);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        m_acceptor = std::thread([this] { accept(); });
    }
    ~endless_server()
    {
        m_stopped = true;
        ::shutdown(m_socket, SHUT_RDWR);
        m_acceptor.join();
        for (auto& connection : m_connections)
            connection.join();
        ::close(m_socket);
    }

    const std::string& address() const { return m_address; }
    std::size_t requests() const { return m_requests; }

private:
    void accept()
    {
        for (;;) {
            const int connection = ::accept(m_socket, nullptr, nullptr);
            if (connection < 0)
                return;
            const auto& response = m_responses[m_requests++ % m_responses.size()];
            m_connections.emplace_back([this, connection, &response] { respond(connection, response); });
        }
    }

    void respond(int connection, const endless_response& response) const
    {
        char request[4096];
        [[maybe_unused]] const auto received = ::recv(connection, request, sizeof request, 0);
        bool open = send(connection, response.prefix);
        while (open && !m_stopped) {
            std::this_thread::sleep_for(response.pause);
            open = send(connection, response.repeated);
        }
        ::close(connection);
    }

    static bool send(int connection, const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto size = ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    std::vector<endless_response> m_responses;
    int m_socket;
    std::string m_address;
    std::atomic<bool> m_stopped { false };
    std::atomic<std::size_t> m_requests { 0 };
    std::thread m_acceptor;
    std::vector<std::thread> m_connections;
};

} // namespace oriolepick
