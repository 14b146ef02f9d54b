/// \file
/// Accepts callers, reports readiness and stops without cutting off answers.
#pragma once

#include "core/instant.h"
#include "gateway/gateway_parts.h"
#include "gateway/tcp_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace oriolepick {

class caller_session;
class http_endpoint;

/// One gateway process.
class gateway {
public:
    /// \param isReady whether configuration and targets are known
    /// \param onStopped called when the process may end
    gateway(boost::asio::io_context& loop, const gateway_parts& parts, std::function<bool()> isReady,
        std::function<void()> onStopped);
    ~gateway();

    /// Reports not ready, serves what is in progress and then calls onStopped.
    void stop();

    /// \return when answers in progress are cut, if the gateway is stopping
    std::optional<instant> stopsAt() const { return m_stopping ? std::optional<instant>(m_stopBy) : std::nullopt; }

private:
    void accept();
    void addSession(boost::asio::ip::tcp::socket socket);
    void runHousekeeping();
    void closeListener();
    void checkStopped();
    std::size_t endSessions(std::size_t count);

    boost::asio::io_context& m_loop;
    const gateway_parts& m_parts;
    std::function<bool()> m_isReady;
    std::function<void()> m_onStopped;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::unique_ptr<http_endpoint> m_readiness;
    std::unique_ptr<http_endpoint> m_metrics;
    std::set<std::shared_ptr<caller_session>> m_sessions;
    bool m_stopping = false;
    instant m_stopBy;
    std::optional<std::size_t> m_busyAtHandover; // sessions when the first of them was ended
    std::size_t m_cutSessions = 0;
};

} // namespace oriolepick
