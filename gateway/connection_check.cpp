#include "gateway/connection_check.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace oriolepick {

connection_check::connection_check(boost::asio::io_context& loop, timer_queue& timers, callback done)
    : m_timers(timers)
    , m_channel(std::make_shared<byte_channel>(boost::asio::ip::tcp::socket(loop), channel_settings {}))
    , m_done(std::move(done))
{
}

void connection_check::start(const std::string& address, std::chrono::milliseconds patience)
{
    m_self = shared_from_this();
    m_timer = m_timers.at(m_timers.now() + patience, [this] {
        m_timer = 0;
        finish(finding::Unknown);
    });
    m_channel->setListener(weak_from_this());
    m_channel->connect(address);
}

void connection_check::onConnected()
{
    finish(finding::Listens);
}

void connection_check::onBytes(std::string_view) { }

void connection_check::onEnd(channel_end end)
{
    finish(end == channel_end::Refused ? finding::NobodyListens : finding::Unknown);
}

void connection_check::finish(finding found)
{
    const auto self = std::exchange(m_self, nullptr);
    if (!self)
        return;
    m_timers.cancel(m_timer);
    m_channel->close();
    m_done(found);
}

} // namespace oriolepick
