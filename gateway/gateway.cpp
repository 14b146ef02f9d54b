#include "gateway/gateway.h"

#include "gateway/caller_session.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/http_endpoint.h"
#include "gateway/socket_address.h"
#include "gateway/target_connection_pool.h"
#include "gateway/timer_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace oriolepick {

namespace {

    /// Interval at which expired connections are closed and the log is written.
    constexpr std::chrono::milliseconds HousekeepingInterval { 500 };
    /// Connections beyond the maximum that are held until their first request is rejected; more are closed at once.
    constexpr std::size_t MaxRefusedSessions = 64;
    constexpr std::chrono::milliseconds StopCheckInterval { 50 }; ///< while the last responses are completed

} // namespace

gateway::gateway(boost::asio::io_context& loop, const gateway_parts& parts, std::function<bool()> isReady,
    std::function<void()> onStopped)
    : m_loop(loop)
    , m_parts(parts)
    , m_isReady(std::move(isReady))
    , m_onStopped(std::move(onStopped))
    , m_acceptor(loop, parseSocketAddress(parts.settings.callerAddress).value())
{
    m_readiness = std::make_unique<http_endpoint>(loop, parts.settings.readinessAddress, [this](std::string_view) {
        const bool ready = !m_stopping && m_isReady();
        return page_response { ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n" };
    });
    if (!parts.settings.metricsAddress.empty()) {
        m_metrics = std::make_unique<http_endpoint>(loop, parts.settings.metricsAddress, [this](std::string_view) {
            return page_response { 200, "text/plain; version=0.0.4", m_parts.metrics.text() };
        });
    }
    accept();
    runHousekeeping();
}

gateway::~gateway() = default;

void gateway::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        if (error)
            m_parts.metrics.count("accept_errors");
        else
            addSession(std::move(socket));
        accept();
    });
}

// A session may end while its exchange is on the call stack.
void gateway::retainUntilNextTurn(const std::shared_ptr<caller_session>& closed)
{
    m_closedSessions.push_back(closed);
    if (m_closedSessions.size() == 1)
        boost::asio::post(m_loop, [this] { std::exchange(m_closedSessions, {}); });
}

void gateway::addSession(boost::asio::ip::tcp::socket socket)
{
    const bool isRefused
        = m_sessions.size() - m_refusedSessions >= static_cast<std::size_t>(m_parts.settings.maxConnections);
    if (isRefused) {
        m_parts.metrics.count("connections_refused");
        if (!std::exchange(m_refusesConnections, true))
            m_parts.log.write(
                "connections_refused", { { "max_connections", std::to_string(m_parts.settings.maxConnections) } });
        if (m_refusedSessions >= MaxRefusedSessions) {
            m_parts.metrics.count("connections_dropped");
            if (!std::exchange(m_dropsConnections, true))
                m_parts.log.write(
                    "connections_dropped", { { "refused_connections", std::to_string(m_refusedSessions) } });
            return;
        }
        ++m_refusedSessions;
    } else {
        m_refusesConnections = false;
        m_dropsConnections = false;
    }
    auto session = std::make_shared<caller_session>(m_loop, m_parts,
        std::make_shared<tcp_connection>(std::move(socket), tcp_connection_settings {}),
        isRefused ? connection_admission::Refused : connection_admission::Served,
        [this, isRefused](const std::shared_ptr<caller_session>& closed) {
            m_sessions.erase(closed);
            retainUntilNextTurn(closed);
            if (isRefused)
                --m_refusedSessions;
        });
    m_sessions.insert(session);
    if (m_stopping)
        session->closeAfterNextResponse();
    session->start();
}

void gateway::runHousekeeping()
{
    m_parts.targetConnections.expire(m_parts.timers.now());
    m_parts.log.flush();
    m_parts.timers.at(m_parts.timers.now() + HousekeepingInterval, [this] { runHousekeeping(); });
}

void gateway::stop()
{
    if (m_stopping)
        return;
    m_stopping = true;
    const auto now = m_parts.timers.now();
    m_stopSchedule = makeStopSchedule(now, m_parts.settings.stopGrace);
    m_parts.log.write("stopping",
        { { "connections", std::to_string(m_sessions.size()) },
            { "grace_ms", std::to_string(m_parts.settings.stopGrace.count()) } });
    for (const auto& session : m_sessions)
        session->closeAfterNextResponse();
    m_parts.timers.at(m_stopSchedule.listenUntil, [this] { closeListener(); });
}

void gateway::closeListener()
{
    // Closing the listener resets connections that are established and not accepted yet, and loses the requests that
    // their callers have sent; so these connections are accepted first.
    boost::system::error_code none;
    m_acceptor.non_blocking(true, none);
    while (!none) {
        boost::asio::ip::tcp::socket socket(m_loop);
        m_acceptor.accept(socket, none);
        if (!none)
            addSession(std::move(socket));
    }
    boost::system::error_code ignored; // the listener is closed with the process in any case
    m_acceptor.close(ignored);
    checkStopped();
}

void gateway::checkStopped()
{
    const auto now = m_parts.timers.now();
    const std::vector<std::shared_ptr<caller_session>> sessions(m_sessions.begin(), m_sessions.end());
    for (const auto& session : sessions) {
        session->closeIfIdle();
        session->rejectIfWaiting();
    }
    const auto busy = static_cast<std::size_t>(
        std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& session) { return !session->isEnding(); }));
    if (now >= m_stopSchedule.cutFrom) {
        m_busyAtHandover = m_busyAtHandover.value_or(busy);
        const auto left = std::max(m_stopSchedule.cutUntil - now, instant::duration::zero());
        const auto window = std::max(m_stopSchedule.cutUntil - m_stopSchedule.cutFrom, instant::duration(1));
        const auto share = static_cast<double>(left.count()) / static_cast<double>(window.count());
        const auto maxBusy = static_cast<std::size_t>(static_cast<double>(*m_busyAtHandover) * share);
        m_cutSessions += endSessions(busy - std::min(busy, maxBusy));
    }
    if (m_sessions.empty() || now >= m_stopSchedule.cutUntil + StopCheckInterval) {
        m_parts.log.write("stopped", { { "cut_connections", std::to_string(m_cutSessions) } });
        m_parts.log.flush();
        m_onStopped();
        return;
    }
    m_parts.timers.at(now + StopCheckInterval, [this] { checkStopped(); });
}

std::size_t gateway::endSessions(std::size_t count)
{
    std::vector<std::shared_ptr<caller_session>> sessions;
    std::copy_if(m_sessions.begin(), m_sessions.end(), std::back_inserter(sessions),
        [](const auto& session) { return !session->isEnding(); });
    count = std::min(count, sessions.size());
    // The sessions whose requests arrived last are the least likely to complete in time.
    std::sort(sessions.begin(), sessions.end(),
        [](const auto& left, const auto& right) { return left->requestReceivedAt() > right->requestReceivedAt(); });
    for (std::size_t index = 0; index < count; ++index)
        sessions[index]->abortForShutdown();
    return count;
}

} // namespace oriolepick
