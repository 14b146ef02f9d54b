#include "gateway/http_call.h"

#include "core/text.h"

#include <boost/asio/io_context.hpp>

namespace oriolepick {

namespace {

    constexpr std::uint32_t MaxHeaderBytes = 8'192; ///< enough for the few fields that the store and targets send
    /// A timer that fires later than this shows that the event loop was blocked or not scheduled. A scheduling turn on
    /// a quarter of a core takes half as long.
    constexpr std::chrono::milliseconds LoopLag { 20 };

} // namespace

http_call::http_call(
    boost::asio::io_context& loop, timer_queue& timers, std::string address, std::uint64_t maxBodyBytes)
    : m_loop(loop)
    , m_timers(timers)
    , m_address(std::move(address))
    , m_maxBodyBytes(maxBodyBytes)
{
}

http_call::~http_call()
{
    m_timers.cancel(m_timer);
    dropChannel();
}

void http_call::get(const std::string& target, const call_patience& patience, callback done)
{
    send(concatenated("GET ", target, " HTTP/1.1\r\nHost: ", m_address, "\r\n\r\n"), patience, std::move(done));
}

void http_call::send(std::string request, const call_patience& patience, callback done)
{
    if (m_done)
        dropChannel(); // the response to the previous request would be mistaken for the response to this one
    m_done = std::move(done);
    m_body.clear();
    m_reader = std::make_unique<response_reader>(MaxHeaderBytes);
    m_request = std::move(request);
    m_timers.cancel(m_timer);
    m_patience = patience;
    m_startedAt = m_lastByteAt = m_timers.now();
    m_firstByteAt.reset();
    waitUntil(dueAt());
    m_reused = m_channel && m_channel->isOpen() && m_connected;
    if (m_reused)
        m_channel->send(m_request);
    else
        connect();
}

void http_call::connect()
{
    dropChannel();
    m_channel = std::make_shared<byte_channel>(boost::asio::ip::tcp::socket(m_loop), channel_settings {});
    m_channel->setListener(weak_from_this());
    m_channel->connect(m_address);
}

instant http_call::dueAt() const
{
    return std::min(m_startedAt + m_patience.whole, m_lastByteAt + m_patience.silence);
}

// When the event loop runs late, the response may already be in the socket buffer, so the timer is set once more to let
// the loop read the response first.
void http_call::waitUntil(instant due)
{
    m_timer = m_timers.at(due, [self = weak_from_this(), due] {
        const auto call = self.lock();
        if (!call)
            return;
        call->m_timer = 0;
        const auto now = call->m_timers.now();
        if (now - due > LoopLag) {
            call->waitUntil(now + LoopLag);
            return;
        }
        if (now < call->dueAt()) {
            call->waitUntil(call->dueAt()); // bytes have arrived since the timer was set, which moved the idle deadline
            return;
        }
        call->dropChannel();
        call->fail("no answer in time");
    });
}

void http_call::onConnected()
{
    m_connected = true;
    m_channel->send(m_request);
}

void http_call::onBytes(std::string_view bytes)
{
    if (!m_done) {
        dropChannel();
        return;
    }
    m_lastByteAt = m_timers.now();
    if (!m_firstByteAt)
        m_firstByteAt = m_lastByteAt;
    m_input.append(bytes);
    m_input.erase(0, m_reader->put(m_input));
    m_body += m_reader->takeBody();
    const bool malformed = m_reader->fault() != read_fault::None || m_input.size() > MaxHeaderBytes;
    if (malformed || m_body.size() > m_maxBodyBytes) {
        dropChannel();
        fail(m_body.size() > m_maxBodyBytes ? "the answer is too large" : "the answer is malformed");
        return;
    }
    if (!m_reader->isDone())
        return;
    if (!m_reader->keepAlive() || !m_input.empty())
        dropChannel();
    finish({ m_reader->head().status, m_reader->head(), std::move(m_body), {}, {} });
}

void http_call::onEnd(channel_end end)
{
    m_connected = false;
    m_input.clear();
    if (m_done && m_reused && !m_reader->started()) {
        // The peer had closed the idle connection; the request is idempotent and is sent again.
        m_reused = false;
        connect();
        return;
    }
    if (m_done)
        fail(end == channel_end::Refused || end == channel_end::NotConnected ? "not connected"
                                                                             : "the connection was lost");
}

void http_call::fail(const std::string& problem)
{
    finish({ 0, {}, {}, problem, {} });
}

void http_call::finish(call_answer answer)
{
    m_timers.cancel(m_timer);
    answer.took
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_firstByteAt.value_or(m_timers.now()) - m_startedAt);
    auto done = std::move(m_done);
    m_done = nullptr;
    if (done)
        done(std::move(answer));
}

void http_call::dropChannel()
{
    if (m_channel)
        m_channel->close();
    m_connected = false;
    m_input.clear();
}

} // namespace oriolepick
