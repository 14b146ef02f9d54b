/// \file
/// Proxy in front of an emulator that changes its responses and ends its connections, for tests.
#pragma once

#include "node/test/tcp_handle.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace oriolepick {

/// What the proxy sends instead of a response.
struct replaced_response {
    std::string bytes;
    bool reset = false; ///< end the connection with a reset
};

/// Passes each request on, reads the whole response, and sends what the test makes of it.
class response_proxy {
public:
    using rewriter = std::function<replaced_response(const std::string& request, const std::string& response)>;

    explicit response_proxy(std::string upstream)
        : m_upstream(std::move(upstream))
        , m_listener(tcp_handle::listening())
        , m_address("127.0.0.1:" + std::to_string(m_listener.localPort()))
        , m_acceptor([this] { accept(); })
    {
    }

    ~response_proxy()
    {
        m_listener.shutdown();
        m_acceptor.join();
        for (auto& each : m_exchanges)
            each.thread.join();
    }

    response_proxy(const response_proxy&) = delete;
    response_proxy& operator=(const response_proxy&) = delete;

    const std::string& address() const { return m_address; }

    /// \param change applied to every response from now on
    void rewrite(rewriter change)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_rewrite = std::move(change);
    }

private:
    struct exchange {
        std::thread thread;
        std::atomic<bool> ended { false };
    };

    void accept()
    {
        for (;;) {
            auto client = m_listener.accept();
            if (!client.valid())
                return;
            joinEnded();
            auto& added = m_exchanges.emplace_back();
            added.thread = std::thread([this, &added, connection = std::move(client)]() mutable {
                serve(connection);
                added.ended = true;
            });
        }
    }

    /// ThreadSanitizer keeps memory for each thread that is not joined, and has room for some hundreds.
    void joinEnded()
    {
        m_exchanges.remove_if([](exchange& each) {
            if (!each.ended)
                return false;
            each.thread.join();
            return true;
        });
    }

    void serve(tcp_handle& client)
    {
        const auto request = client.readMessage();
        if (request.empty())
            return;
        auto upstream = tcp_handle::connected(m_upstream);
        upstream.write(request);
        const auto response = upstream.readAll();
        rewriter change;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            change = m_rewrite;
        }
        const auto sent = change ? change(request, response) : replaced_response { response };
        client.write(sent.bytes);
        if (sent.reset)
            client.reset();
    }

    const std::string m_upstream;
    tcp_handle m_listener;
    const std::string m_address;
    std::mutex m_mutex;
    rewriter m_rewrite;
    std::list<exchange> m_exchanges; ///< used by the acceptor until it has ended
    std::thread m_acceptor;
};

} // namespace oriolepick
