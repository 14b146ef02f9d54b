/// \file
/// Accepts connections of callers, reports readiness and shuts down without interrupting responses.
#pragma once

#include "core/instant.h"
#include "gateway/gateway_parts.h"
#include "gateway/stop_schedule.h"
#include "gateway/tcp_connection.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace oriolepick {

class caller_session;
class http_endpoint;

/// The server of one gateway process.
class gateway {
public:
    /// \param isReady whether the configuration and the targets are loaded
    /// \param onStopped called when the process may end
    gateway(boost::asio::io_context& loop, const gateway_parts& parts, std::function<bool()> isReady,
        std::function<void()> onStopped);
    ~gateway();

    /// Reports not ready, completes the requests in progress, and then calls onStopped.
    void stop();

    /// \return the times of the stop, if the gateway is stopping
    std::optional<stop_schedule> stopSchedule() const
    {
        return m_stopping ? std::optional<stop_schedule>(m_stopSchedule) : std::nullopt;
    }

private:
    void accept();
    void addSession(boost::asio::ip::tcp::socket socket);
    void retainUntilNextTurn(const std::shared_ptr<caller_session>& closed);
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
    std::vector<std::shared_ptr<caller_session>> m_closedSessions; // until the next turn of the event loop
    bool m_stopping = false;
    std::size_t m_refusedSessions = 0; // part of m_sessions
    bool m_refusesConnections = false; // the last new connection was refused; logged once
    bool m_dropsConnections = false; // and closed without a response; logged once
    stop_schedule m_stopSchedule; // valid while the gateway is stopping
    std::optional<std::size_t> m_busyAtHandover; // busy sessions when the first of them was aborted
    std::size_t m_cutSessions = 0;
};

} // namespace oriolepick
