#include "gateway/target_connection.h"

#include "core/stable_hash.h"

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

target_connection::target_connection(boost::asio::io_context& loop, const request_dialect& dialect,
    memory_budget& memory, const tcp_connection_settings& settings, std::string address)
    : m_dialect(dialect)
    , m_address(std::move(address))
    , m_connection(std::make_shared<tcp_connection>(boost::asio::ip::tcp::socket(loop), settings))
    , m_memory(memory)
{
}

bool target_connection::accepts(std::string_view attempt) const
{
    return std::find(m_attempts.begin(), m_attempts.end(), stableHash(attempt)) == m_attempts.end();
}

void target_connection::send(std::string request, std::string attempt, std::weak_ptr<response_listener> listener)
{
    m_listener = std::move(listener);
    m_attempt = std::move(attempt);
    m_parser = std::make_unique<response_parser>(MaxHeadBytes);
    m_headAccepted = false;
    m_skipping = false;
    m_skippedResponses = 0;
    m_skippedBytes = 0;
    m_awaitingResponse = true;
    m_attempts.push_back(stableHash(m_attempt));
    if (!m_connected) {
        m_request = std::move(request);
        if (!m_connecting) {
            m_connecting = true;
            m_connection->setListener(weak_from_this());
            m_connection->connect(m_address);
        }
        return;
    }
    m_connection->send(request);
    if (const auto receiver = m_listener.lock())
        receiver->onSent();
}

void target_connection::abandon()
{
    m_awaitingResponse = false;
    m_listener.reset();
    // Closed in order, the kernel would go on to send a request that nobody waits for.
    if (m_connected && m_connection->hasUntakenBytes())
        m_connection->reset();
    else
        m_connection->close();
}

void target_connection::pauseReading(bool paused)
{
    m_connection->pauseReading(paused);
}

void target_connection::onConnected()
{
    m_connected = true;
    if (!m_awaitingResponse)
        return;
    const auto receiver = m_listener.lock();
    if (receiver && !receiver->maySend()) {
        fail(transport_failure::NotSent);
        return;
    }
    m_connection->send(m_request);
    m_request.clear();
    m_request.shrink_to_fit();
    if (receiver)
        receiver->onSent();
}

void target_connection::onBytes(std::string_view bytes)
{
    if (!m_awaitingResponse) {
        // Unsolicited bytes make the connection unusable: they could be mistaken for the response to the next request.
        m_connection->close();
        return;
    }
    m_input.append(bytes);
    read();
}

void target_connection::read()
{
    const auto self = shared_from_this(); // the listener may release the last reference
    while (m_awaitingResponse) {
        const auto used = m_parser->put(m_input);
        m_input.erase(0, used);
        m_skippedBytes += m_skipping ? used : 0;
        if (m_parser->parseError() != parse_error::None || m_input.size() > MaxUnparsedBytes
            || m_skippedBytes > MaxSkippedBytes || !m_memory.tryResize(m_input.size() + 2 * m_parser->headBytes())) {
            fail(transport_failure::Malformed);
            return;
        }
        if (!m_parser->headDone())
            return;
        if (!m_headAccepted && !m_skipping)
            acceptHead();
        if (!m_awaitingResponse)
            return;
        auto body = m_parser->takeBody();
        if (!m_skipping && !body.empty()) {
            if (const auto listener = m_listener.lock())
                listener->onBody(std::move(body));
            if (!m_awaitingResponse)
                return;
        }
        if (!m_parser->isDone())
            return;
        if (!m_skipping) {
            finish();
            return;
        }
        m_skipping = false;
        m_parser = std::make_unique<response_parser>(MaxHeadBytes);
        if (++m_skippedResponses > MaxSkippedResponses) {
            fail(transport_failure::Malformed);
            return;
        }
    }
}

void target_connection::acceptHead()
{
    const auto& head = m_parser->head();
    if (head.status >= 100 && head.status < 200) {
        m_skipping = true;
        return;
    }
    const auto reply = m_dialect.readReply(head);
    // On a connection that was used before, a refusal without identifier may be that of an earlier request.
    if (reply.attempt.empty() && (!reply.notRun || m_attempts.size() > 1)) {
        fail(transport_failure::Malformed);
        return;
    }
    if (!reply.attempt.empty() && reply.attempt != m_attempt) {
        m_skipping = true;
        return;
    }
    m_headAccepted = true;
    const auto idle = std::chrono::duration_cast<std::chrono::milliseconds>(
        reply.idleTimeout.value_or(DefaultIdleTimeout) * IdleTimeoutShare);
    m_reusableUntil = std::chrono::steady_clock::now() + idle;
    if (const auto listener = m_listener.lock())
        listener->onHead(head, reply);
}

void target_connection::finish()
{
    // A target that responds early may not read the rest of the request for long, and the next one would wait behind
    // it.
    const bool reusable = m_parser->keepAlive() && m_input.empty() && !m_skippedResponses
        && m_attempts.size() < MaxAttempts && m_connection->canSend() && !m_connection->queuedBytes();
    m_awaitingResponse = false;
    m_parser.reset();
    m_memory.set(0);
    const auto listener = m_listener.lock();
    m_listener.reset();
    if (!reusable)
        m_connection->close();
    if (listener)
        listener->onComplete(reusable);
}

void target_connection::fail(transport_failure failure)
{
    if (!m_awaitingResponse)
        return;
    m_awaitingResponse = false;
    const auto listener = m_listener.lock();
    m_listener.reset();
    m_connection->close();
    if (listener)
        listener->onFailure(failure);
}

void target_connection::onEnd(connection_end end)
{
    if (!m_awaitingResponse)
        return;
    const auto self = shared_from_this();
    if (end == connection_end::Refused || end == connection_end::Unreachable || end == connection_end::NotConnected) {
        fail(transport_failure::NotSent);
        return;
    }
    if (end == connection_end::Closed && m_headAccepted && m_parser->bodyEndsAtClose()) {
        m_parser->putEof();
        finish();
        return;
    }
    fail(end == connection_end::Closed            ? transport_failure::Closed
            : end == connection_end::Unresponsive ? transport_failure::Unresponsive
                                                  : transport_failure::Reset);
}

} // namespace oriolepick
