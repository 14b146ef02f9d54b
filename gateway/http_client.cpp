#include "gateway/http_client.h"

#include "core/text.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

namespace {

    constexpr std::uint32_t MaxHeaderBytes = 8'192; ///< enough for the few fields that the store and targets send
    /// A timer that fires later than this shows that the event loop was blocked or not scheduled. A scheduling turn on
    /// a quarter of a core takes half as long.
    constexpr std::chrono::milliseconds LoopLag { 20 };

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
    m_timers.cancel(m_timer);
    m_timeouts = timeouts;
    m_startedAt = m_lastByteAt = m_timers.now();
    m_firstByteAt.reset();
    waitUntil(dueAt());
    m_reused = m_connection && m_connection->isOpen() && m_connected;
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

instant http_client::dueAt() const
{
    return std::min(m_startedAt + m_timeouts.total, m_lastByteAt + m_timeouts.idle);
}

// When the event loop runs late, the response may already be in the socket buffer, so the timer is set once more to let
// the loop read the response first.
void http_client::waitUntil(instant due)
{
    m_timer = m_timers.at(due, [self = weak_from_this(), due] {
        const auto client = self.lock();
        if (!client)
            return;
        client->m_timer = 0;
        const auto now = client->m_timers.now();
        if (now - due > LoopLag) {
            client->waitUntil(now + LoopLag);
            return;
        }
        if (now < client->dueAt()) {
            client->waitUntil(client->dueAt()); // bytes that arrived after the timer was set have moved the deadline
            return;
        }
        client->dropConnection();
        client->fail("no answer in time");
    });
}

void http_client::onConnected()
{
    m_connected = true;
    m_connection->send(m_request);
}

void http_client::onBytes(std::string_view bytes)
{
    if (!m_done) {
        dropConnection();
        return;
    }
    m_lastByteAt = m_timers.now();
    if (!m_firstByteAt)
        m_firstByteAt = m_lastByteAt;
    m_input.append(bytes);
    m_input.erase(0, m_parser->put(m_input));
    m_body += m_parser->takeBody();
    const bool malformed = m_parser->parseError() != parse_error::None || m_input.size() > MaxHeaderBytes;
    if (malformed || m_body.size() > m_maxBodyBytes) {
        dropConnection();
        fail(m_body.size() > m_maxBodyBytes ? "the answer is too large" : "the answer is malformed");
        return;
    }
    if (!reserveMemory()) {
        dropConnection();
        fail("no memory for the answer beside those to others");
        return;
    }
    if (!m_parser->isDone())
        return;
    if (!m_parser->keepAlive() || !m_input.empty())
        dropConnection();
    finish({ m_parser->head().status, m_parser->head(), std::move(m_body), {}, {} });
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
    if (m_done)
        fail(end == connection_end::Refused || end == connection_end::NotConnected ? "not connected"
                                                                                   : "the connection was lost");
}

void http_client::fail(const std::string& problem)
{
    finish({ 0, {}, {}, problem, {} });
}

void http_client::finish(http_client_response response)
{
    m_timers.cancel(m_timer);
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
