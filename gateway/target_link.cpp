#include "gateway/target_link.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace oriolepick {

namespace {

    /// Idle timeout assumed for a target that declares none. A connection is not reused later, since the target may
    /// close the connection while a request is under way.
    constexpr std::chrono::seconds DefaultIdleTimeout { 4 };
    /// Share of the idle timeout during which a connection is reused. A declared timeout is in whole seconds and starts
    /// when the target sends, not when the node receives.
    constexpr double IdleTimeoutShare = 0.5;

} // namespace

target_link::target_link(boost::asio::io_context& loop, const request_dialect& dialect,
    const channel_settings& settings, std::string address)
    : m_dialect(dialect)
    , m_address(std::move(address))
    , m_channel(std::make_shared<byte_channel>(boost::asio::ip::tcp::socket(loop), settings))
{
}

void target_link::send(std::string request, std::string attempt, std::weak_ptr<response_listener> listener)
{
    m_listener = std::move(listener);
    m_attempt = std::move(attempt);
    m_reader = std::make_unique<response_reader>(MaxHeadBytes);
    m_headAccepted = false;
    m_skipping = false;
    m_skipped = 0;
    m_skippedBytes = 0;
    m_busy = true;
    if (!m_connected) {
        m_request = std::move(request);
        if (!m_connecting) {
            m_connecting = true;
            m_channel->setListener(weak_from_this());
            m_channel->connect(m_address);
        }
        return;
    }
    m_channel->send(request);
    if (const auto heard = m_listener.lock())
        heard->onSent();
}

void target_link::abandon()
{
    m_busy = false;
    m_listener.reset();
    m_channel->close();
}

void target_link::pauseReading(bool paused)
{
    m_channel->pauseReading(paused);
}

void target_link::onConnected()
{
    m_connected = true;
    if (!m_busy)
        return;
    m_channel->send(m_request);
    m_request.clear();
    m_request.shrink_to_fit();
    if (const auto listener = m_listener.lock())
        listener->onSent();
}

void target_link::onBytes(std::string_view bytes)
{
    if (!m_busy) {
        // Unsolicited bytes make the connection unusable: they could be mistaken for the response to the next request.
        m_channel->close();
        return;
    }
    m_input.append(bytes);
    read();
}

void target_link::read()
{
    const auto self = shared_from_this(); // the listener may release the last reference
    while (m_busy) {
        const auto used = m_reader->put(m_input);
        m_input.erase(0, used);
        m_skippedBytes += m_skipping ? used : 0;
        if (m_reader->fault() != read_fault::None || m_input.size() > MaxUnparsedBytes
            || m_skippedBytes > MaxSkippedBytes) {
            fail(link_failure::Malformed);
            return;
        }
        if (!m_reader->headDone())
            return;
        if (!m_headAccepted && !m_skipping)
            acceptHead();
        if (!m_busy)
            return;
        auto body = m_reader->takeBody();
        if (!m_skipping && !body.empty()) {
            if (const auto listener = m_listener.lock())
                listener->onBody(std::move(body));
            if (!m_busy)
                return;
        }
        if (!m_reader->isDone())
            return;
        if (!m_skipping) {
            finish();
            return;
        }
        m_skipping = false;
        m_reader = std::make_unique<response_reader>(MaxHeadBytes);
        if (++m_skipped > MaxSkipped) {
            fail(link_failure::Malformed);
            return;
        }
    }
}

void target_link::acceptHead()
{
    const auto& head = m_reader->head();
    if (head.status >= 100 && head.status < 200) {
        m_skipping = true;
        return;
    }
    const auto reply = m_dialect.readReply(head);
    if (reply.attempt.empty() && !reply.notRun) {
        fail(link_failure::Malformed);
        return;
    }
    if (!reply.attempt.empty() && reply.attempt != m_attempt) {
        m_skipping = true;
        return;
    }
    m_headAccepted = true;
    const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(
        reply.idleTimeout.value_or(DefaultIdleTimeout) * IdleTimeoutShare);
    m_usableUntil = std::chrono::steady_clock::now() + idle;
    if (const auto listener = m_listener.lock())
        listener->onHead(head, reply);
}

void target_link::finish()
{
    const bool reusable = m_reader->keepAlive() && m_input.empty() && !m_skipped && m_channel->isOpen();
    m_busy = false;
    const auto listener = m_listener.lock();
    m_listener.reset();
    if (!reusable)
        m_channel->close();
    if (listener)
        listener->onWhole(reusable);
}

void target_link::fail(link_failure failure)
{
    if (!m_busy)
        return;
    m_busy = false;
    const auto listener = m_listener.lock();
    m_listener.reset();
    m_channel->close();
    if (listener)
        listener->onFailure(failure);
}

void target_link::onEnd(channel_end end)
{
    if (!m_busy)
        return;
    const auto self = shared_from_this();
    if (end == channel_end::Refused || end == channel_end::NotConnected) {
        fail(link_failure::NotSent);
        return;
    }
    if (end == channel_end::Closed && m_headAccepted && m_reader->endsWithConnection()) {
        m_reader->putEnd();
        finish();
        return;
    }
    fail(end == channel_end::Closed ? link_failure::Closed : link_failure::Reset);
}

} // namespace oriolepick
