#include "standins/http_listener.h"

#include "standins/elastic_thread_pool.h"
#include "standins/http_library.h"

#include <httplib.h>

#include <chrono>
#include <csignal>
#include <sys/resource.h>
#include <sys/socket.h>

namespace oriolepick {

namespace {

    // The library's backlog of 5 makes the kernel drop connects when many callers come at once.
    constexpr int Backlog = 2048;
    constexpr std::size_t MaxRequestBytes = std::size_t { 16 } << 20;

    class pool_queue : public httplib::TaskQueue {
    public:
        explicit pool_queue(std::size_t maxThreads)
            : m_pool(maxThreads)
        {
        }

        void enqueue(std::function<void()> task) override { m_pool.enqueue(std::move(task)); }
        void shutdown() override { m_pool.shutdown(); }

    private:
        elastic_thread_pool m_pool;
    };

    sigset_t terminationSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        return signals;
    }

} // namespace

http_listener::http_listener(std::size_t maxConnections)
    : m_server(std::make_unique<httplib::Server>())
{
    m_server->new_task_queue = [maxConnections] { return new pool_queue(maxConnections); };
    m_server->set_tcp_nodelay(true);
    m_server->set_payload_max_length(MaxRequestBytes);
    // One request per connection: an idle connection would hold a thread.
    m_server->set_keep_alive_max_count(1);
    // Replaces the library's default, which sets SO_REUSEPORT and lets two processes share a port unnoticed.
    m_server->set_socket_options([this](int socket) {
        const int enabled = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        m_socket = socket;
    });
}

http_listener::~http_listener()
{
    stop();
}

bool http_listener::start(const std::string& address)
{
    initializeHttpLibrary();
    const auto separator = address.rfind(':');
    if (separator == std::string::npos)
        return false;
    const std::string host = address.substr(0, separator);
    const std::string portText = address.substr(separator + 1);
    if (portText.empty() || portText.size() > 5 || portText.find_first_not_of("0123456789") != std::string::npos)
        return false;
    int port = std::stoi(portText);
    if (port) {
        if (!m_server->bind_to_port(host, port))
            return false;
    } else {
        port = m_server->bind_to_any_port(host);
        if (port <= 0)
            return false;
    }
    ::listen(m_socket, Backlog);
    m_address = host + ":" + std::to_string(port);
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    // stop() before the server runs would be lost.
    while (!m_server->is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return true;
}

void http_listener::stop()
{
    if (!m_thread.joinable())
        return;
    m_server->stop();
    m_thread.join();
}

void raiseOpenFileLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
}

void blockTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    ::pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void waitForTermination()
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    ::sigwait(&signals, &received);
}

} // namespace oriolepick
