#include "gateway/connection_check.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace oriolepick {

connection_check::connection_check(boost::asio::io_context& loop, timer_queue& timers, callback done)
    : m_timers(timers)
    , m_connection(std::make_shared<tcp_connection>(boost::asio::ip::tcp::socket(loop), tcp_connection_settings {}))
    , m_done(std::move(done))
{
}

connection_check::~connection_check()
{
    m_timers.cancel(m_timer);
    m_connection->close();
}

void connection_check::start(const std::string& address, std::chrono::milliseconds timeout)
{
    m_wait.emplace(timeout, m_timers.now());
    startTimer();
    m_connection->setListener(weak_from_this());
    m_connection->connect(address);
}

void connection_check::startTimer()
{
    m_timer = m_timers.at(m_wait->due(), [this] {
        m_timer = 0;
        if (m_wait->isUnresponsive(m_timers.now(), m_connection->hasPendingInput()))
            finish(outcome::Unknown);
        else
            startTimer();
    });
}

void connection_check::onConnected()
{
    finish(outcome::Listening);
}

void connection_check::onBytes(std::string_view) { }

void connection_check::onEnd(connection_end end)
{
    finish(end == connection_end::Refused ? outcome::NotListening : outcome::Unknown);
}

void connection_check::finish(outcome found)
{
    if (std::exchange(m_finished, true))
        return;
    const auto self = shared_from_this(); // the owner releases this object in the callback
    m_timers.cancel(m_timer);
    m_connection->close();
    m_done(found);
}

} // namespace oriolepick
