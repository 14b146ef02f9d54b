/// \file
/// HTTP server of the emulators, sized for many long connections.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
}

namespace oriolepick {

/// Serves each connection on a thread of its own; threads are made on demand, up to a limit, and reused.
class http_listener {
public:
    /// \param maxConnections connections served at a time; more wait
    explicit http_listener(std::size_t maxConnections);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Routes are added here before start().
    httplib::Server& server() { return *m_server; }

    /// Binds to \p address, "ip:port" with port 0 for any free one, and starts to serve.
    /// \return whether the address could be bound
    bool start(const std::string& address);

    /// \return "ip:port" with the real port
    const std::string& address() const { return m_address; }

    /// Ends all connections once their handlers return, and waits for that.
    void stop();

private:
    std::unique_ptr<httplib::Server> m_server;
    std::string m_address;
    int m_socket = -1;
    std::thread m_thread;
};

/// Raises the limit of open files of this process as far as it may, for programs with many connections.
void raiseOpenFileLimit();

/// Waits for SIGINT or SIGTERM. The signals must be blocked by blockTerminationSignals() before threads start.
void waitForTermination();

/// Blocks SIGINT and SIGTERM in this thread and the threads that it starts.
void blockTerminationSignals();

} // namespace oriolepick
