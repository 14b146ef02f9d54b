#include "gateway/http_client.h"

#include "core/text.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

namespace {

    constexpr std::uint32_t MaxHeaderBytes = 8'192; ///< enough for the few fields that the store and targets send

} // namespace

http_client::http_client(boost::asio::io_context& loop, timer_queue& timers, std::string address,
    std::uint64_t maxBodyBytes, memory_budget* memory)
    : m_loop(loop)
    , m_timers(timers)
    , m_address(std::move(address))
    , m_maxBodyBytes(maxBodyBytes)
{
    if (memory)
        m_memory.emplace(*memory);
}

http_client::~http_client()
{
    m_timers.cancel(m_timer);
    dropConnection();
}

void http_client::get(const std::string& target, const response_timeouts& timeouts, callback done)
{
    send(concatenated("GET ", target, " HTTP/1.1\r\nHost: ", m_address, "\r\n\r\n"), timeouts, std::move(done));
}

void http_client::send(std::string request, const response_timeouts& timeouts, callback done)
{
    if (m_done)
        dropConnection(); // the response to the previous request would be mistaken for the response to this one
    m_done = std::move(done);
    m_body.clear();
    m_parser = std::make_unique<response_parser>(MaxHeaderBytes);
    m_request = std::move(request);
    m_startedAt = m_timers.now();
    m_firstByteAt.reset();
    m_totalWait.emplace(timeouts.total, m_startedAt);
    m_idleWait.emplace(timeouts.idle, m_startedAt);
    startTimer();
    m_reused = m_connection && m_connection->canSend() && !m_connection->queuedBytes() && m_connected;
    if (m_reused)
        m_connection->send(m_request);
    else
        connect();
}

void http_client::connect()
{
    dropConnection();
    m_connection = std::make_shared<tcp_connection>(boost::asio::ip::tcp::socket(m_loop), tcp_connection_settings {});
    m_connection->setListener(weak_from_this());
    m_connection->connect(m_address);
}

void http_client::startTimer()
{
    m_timers.cancel(m_timer);
    m_timer = m_timers.at(std::min(m_totalWait->due(), m_idleWait->due()), [self = weak_from_this()] {
        if (const auto client = self.lock()) {
            client->m_timer = 0;
            client->onTimer();
        }
    });
}

// Bytes that arrive move the limits, but not the timer, which would cost more.
void http_client::onTimer()
{
    const auto now = m_timers.now();
    const auto due = std::min(m_totalWait->due(), m_idleWait->due());
    const bool inputPending = now >= due && m_connection && m_connection->hasPendingInput();
    const bool totalExceeded = m_totalWait->isUnresponsive(now, inputPending);
    if (!totalExceeded && !m_idleWait->isUnresponsive(now, inputPending)) {
        startTimer();
        return;
    }
    const bool wasConnected = m_connected;
    dropConnection();
    fail(response_failure::TimedOut, wasConnected ? "no answer in time" : "no connection in time");
}

void http_client::onConnected()
{
    m_connected = true;
    m_connection->send(m_request);
    const auto now = m_timers.now();
    if (m_totalWait) {
        m_totalWait->restart(now);
        m_idleWait->restart(now);
    }
}

void http_client::onBytes(std::string_view bytes)
{
    if (!m_done) {
        dropConnection();
        return;
    }
    const auto now = m_timers.now();
    m_idleWait->restart(now);
    if (!m_firstByteAt)
        m_firstByteAt = now;
    m_input.append(bytes);
    m_input.erase(0, m_parser->put(m_input));
    m_body += m_parser->takeBody();
    const bool malformed = m_parser->parseError() != parse_error::None || m_input.size() > MaxHeaderBytes;
    if (malformed || m_body.size() > m_maxBodyBytes) {
        dropConnection();
        fail(response_failure::Malformed,
            m_body.size() > m_maxBodyBytes ? "the answer is too large" : "the answer is malformed");
        return;
    }
    if (!reserveMemory()) {
        dropConnection();
        fail(response_failure::NoMemory, "no memory for the answer beside those to others");
        return;
    }
    if (!m_parser->isDone())
        return;
    if (!m_parser->keepAlive() || !m_input.empty())
        dropConnection();
    finish({ m_parser->head().status, m_parser->head(), std::move(m_body), response_failure::None, {}, {} });
}

// Counts the body twice, since it grows by copying.
bool http_client::reserveMemory()
{
    return !m_memory || m_memory->tryResize(m_input.size() + 2 * m_body.size() + m_parser->headBytes());
}

void http_client::onEnd(connection_end end)
{
    m_connected = false;
    m_input.clear();
    if (m_done && m_reused && !m_parser->started()) {
        // The peer had closed the idle connection; the request is idempotent and is sent again.
        m_reused = false;
        connect();
        return;
    }
    if (!m_done)
        return;
    switch (end) {
    case connection_end::Refused:
        fail(response_failure::Refused, "the connection was refused");
        return;
    case connection_end::Unreachable:
        fail(response_failure::TimedOut, "the peer cannot be reached");
        return;
    case connection_end::NotConnected:
        fail(response_failure::NotConnected, "not connected");
        return;
    case connection_end::Closed:
    case connection_end::Reset:
    case connection_end::Unresponsive:
        fail(response_failure::ConnectionLost, "the connection was lost");
        return;
    }
}

void http_client::fail(response_failure failure, const std::string& problem)
{
    finish({ 0, {}, {}, failure, problem, {} });
}

void http_client::finish(http_client_response response)
{
    m_timers.cancel(m_timer);
    m_totalWait.reset();
    m_idleWait.reset();
    response.latency
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_firstByteAt.value_or(m_timers.now()) - m_startedAt);
    if (m_memory)
        m_memory->set(0);
    auto done = std::move(m_done);
    m_done = nullptr;
    if (done)
        done(std::move(response));
}

void http_client::dropConnection()
{
    if (m_connection)
        m_connection->close();
    m_connected = false;
    m_input.clear();
}

} // namespace oriolepick
