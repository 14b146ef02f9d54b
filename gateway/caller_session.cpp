#include "gateway/caller_session.h"

#include "core/error_kind.h"
#include "core/seeded_random.h"
#include "core/text.h"
#include "gateway/active_config.h"
#include "gateway/decision_log.h"
#include "gateway/exchange.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"
#include "gateway/http_error_response.h"
#include "routing/route_table.h"

#include <boost/asio/post.hpp>

namespace oriolepick {

namespace {

    /// Input that is read ahead while a request is in progress; beyond this limit, reading from the caller pauses.
    constexpr std::size_t MaxReadAheadBytes = 65'536;

    /// A body is kept for retries and, until it is sent, a second time as encoded bytes for the target.
    constexpr std::size_t RequestMemoryFactor = 2;

    caller_limits limitsOf(const active_config& config)
    {
        return config.table() ? config.table()->config().limits : caller_limits {};
    }

    error_kind errorKindOf(parse_error parseError)
    {
        switch (parseError) {
        case parse_error::HeaderTooLarge:
            return error_kind::HeaderTooLarge;
        case parse_error::BodyTooLarge:
            return error_kind::BodyTooLarge;
        case parse_error::None:
        case parse_error::Malformed:
        case parse_error::Truncated:
            break;
        }
        return error_kind::BadRequest;
    }

} // namespace

caller_session::caller_session(boost::asio::io_context& loop, const gateway_parts& parts,
    std::shared_ptr<tcp_connection> channel, connection_admission admission,
    std::function<void(const std::shared_ptr<caller_session>&)> onClosed)
    : m_loop(loop)
    , m_parts(parts)
    , m_channel(std::move(channel))
    , m_admission(admission)
    , m_onClosed(std::move(onClosed))
    , m_requestMemory(parts.memory)
    , m_responseMemory(parts.memory)
    , m_state(parts.timers.now())
{
}

caller_session::~caller_session()
{
    m_parts.timers.cancel(m_inputTimer);
}

void caller_session::start()
{
    m_channel->setListener(weak_from_this());
    readNextRequest();
    m_channel->startReading();
}

// Prepares for the next request and parses the part of it that has already arrived.
void caller_session::readNextRequest()
{
    startReader();
    m_continueSent = false;
    m_channel->pauseReading(false);
    onBytes({});
}

void caller_session::startReader()
{
    m_limits = limitsOf(m_parts.config);
    m_limitsVersion = m_parts.config.version();
    m_reader = std::make_unique<request_parser>(m_limits.maxHeaderBytes, m_limits.maxBodyBytes);
}

void caller_session::onBytes(std::string_view bytes)
{
    const auto self = shared_from_this();
    const auto phase = m_state.phase();
    if (phase == caller_phase::Closing || phase == caller_phase::Lingering || phase == caller_phase::Closed) {
        m_state.discardInput(m_parts.timers.now());
        return;
    }
    m_input.append(bytes);
    if (m_exchange) {
        m_channel->pauseReading(m_input.size() > MaxReadAheadBytes);
        return;
    }
    // A request is read by the limits that are in force when it begins.
    if (!m_reader->started() && m_limitsVersion != m_parts.config.version())
        startReader();
    const auto used = m_reader->put(m_input);
    m_input.erase(0, used);
    if (m_admission == connection_admission::Refused && m_reader->headerDone()) {
        reject(error_kind::Overloaded, "this node has its maximum of connections");
        return;
    }
    if (m_reader->parseError() != parse_error::None) {
        reject(errorKindOf(m_reader->parseError()), "the request cannot be read");
        return;
    }
    if (!m_reader->isDone() && m_input.size() > m_limits.maxHeaderBytes) {
        reject(error_kind::BadRequest, "a line of the request does not end");
        return;
    }
    if (!m_requestMemory.tryResize(
            RequestMemoryFactor * (m_reader->headBytes() + m_reader->bodyBytes()) + m_input.size())) {
        m_parts.metrics.count("requests_without_memory");
        reject(error_kind::Overloaded, "this node has no memory for the request");
        return;
    }
    if (m_reader->isDone()) {
        startExchange();
        return;
    }
    if (m_reader->headerDone() && m_reader->expectsContinue() && !m_continueSent) {
        m_continueSent = true;
        m_channel->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_reader->started())
        m_state.receiveInput(m_parts.timers.now());
    startInputTimer();
}

bool caller_session::canQueueMore() const
{
    return m_parts.memory.mayGrow(0, m_channel->queuedBytes());
}

void caller_session::updateResponseMemory()
{
    m_responseMemory.set(m_channel->queuedBytes());
}

void caller_session::onDrained()
{
    const auto self = shared_from_this();
    updateResponseMemory();
    if (m_exchange)
        m_exchange->onSinkDrained();
    proceed(m_state.drain(m_parts.timers.now()));
}

// Acts on a decision of the state machine. The input timer follows the phase.
void caller_session::proceed(connection_action action)
{
    switch (action) {
    case connection_action::ReadRequest:
        readNextRequest();
        return;
    case connection_action::ShutDownSending:
        // Closing with unread input would reset the connection, and the response could be lost.
        m_channel->shutDownSending();
        startInputTimer();
        return;
    case connection_action::None:
        startInputTimer();
        return;
    }
}

std::optional<instant> caller_session::inputDue() const
{
    const auto due = phaseDue();
    return due ? std::max(*due, m_readsUntil) : due;
}

// The configuration limits how long a connection may be idle and how long the header of a request may take to arrive. A
// caller that does not read its response is idle, too.
std::optional<instant> caller_session::phaseDue() const
{
    if (m_state.phase() == caller_phase::Lingering)
        return m_state.lingersUntil();
    if (isResponseQueued())
        return m_state.quietSince() + m_limits.idleTimeout;
    const auto since = m_state.waitingSince();
    if (!since || m_reader->headerDone())
        return {};
    if (m_admission == connection_admission::Refused)
        return m_state.refusalDue();
    if (m_reader->started())
        return *since + m_limits.headerTimeout;
    return m_parts.config.idleLimit().dueAt(*since, m_parts.settings.configurationBound);
}

void caller_session::startInputTimer()
{
    m_parts.timers.cancel(m_inputTimer);
    const auto due = inputDue();
    if (!due)
        return;
    m_inputTimer = m_parts.timers.at(*due, [self = weak_from_this()] {
        if (const auto session = self.lock())
            session->onInputTimer();
    });
}

// A change of the configuration may extend the limit meanwhile, and callers reuse connections by the new one.
void caller_session::onInputTimer()
{
    m_inputTimer = 0;
    const auto due = inputDue();
    if (!due || m_parts.timers.now() < *due) {
        startInputTimer();
        return;
    }
    if (isReading()) {
        m_readsUntil = m_parts.timers.now() + m_limits.idleTimeout;
        startInputTimer();
        return;
    }
    const bool isUnread = m_channel->hasUntakenBytes();
    if (m_state.phase() == caller_phase::Lingering) {
        close(isUnread ? "unread" : m_endReason);
        return;
    }
    if (isResponseQueued()) {
        close("unread");
        return;
    }
    if (m_channel->hasPendingInput())
        return; // it is read next, which starts the timer again
    if (m_reader->started())
        m_parts.metrics.count("header_timeouts");
    close(m_reader->started() ? "header_timeout" : isUnread ? "unread" : "idle");
}

// Whether bytes of a complete response are queued.
bool caller_session::isResponseQueued() const
{
    const auto phase = m_state.phase();
    return m_channel->queuedBytes() > 0 && phase != caller_phase::Serving && phase != caller_phase::Closed;
}

// The bytes of a response stay in the queue and in the kernel while a caller reads slowly.
bool caller_session::isReading()
{
    const auto before = std::exchange(m_takenBytes, m_channel->takenBytes());
    return m_takenBytes > before && m_channel->hasUntakenBytes();
}

void caller_session::startExchange()
{
    m_parts.timers.cancel(m_inputTimer);
    m_requestReceivedAt = m_parts.timers.now();
    m_state.startRequest(m_requestReceivedAt);
    auto request = m_reader->take();
    m_keepAlive = request.keepAlive;
    m_chunked = request.version >= 11;
    m_streaming = false;
    m_exchange = std::make_shared<exchange>(m_parts, std::move(request), *this);
    m_exchange->start();
}

// Sends an error response to a request that is not read completely.
void caller_session::reject(error_kind kind, std::string_view errorMessage)
{
    m_parts.timers.cancel(m_inputTimer);
    m_parts.metrics.count(m_admission == connection_admission::Refused ? "requests_refused" : "unreadable_requests");
    m_keepAlive = false;
    m_input.clear();
    m_reader = std::make_unique<request_parser>(1, 0); // frees the input that was read
    m_requestMemory.set(0);
    const auto response = makeErrorResponse(kind, errorMessage, m_parts.random);
    m_channel->send(formatResponse(response.head, response.body));
    updateResponseMemory();
    m_endReason = "rejected";
    // Closing with unread input would reset the connection, and the response could be lost.
    proceed(m_state.completeResponse(after_response::Close, m_channel->queuedBytes() > 0, m_parts.timers.now()));
}

// A stopping node still answers requests that it has read ahead.
bool caller_session::closesAfterResponse() const
{
    return !m_keepAlive || (m_closing && m_input.empty());
}

std::string caller_session::formatHead(const http_response_head& head, std::string_view framing)
{
    std::string text = concatenated("HTTP/1.1 ", head.status, " ", head.reason, "\r\n");
    const auto* connection = findField(head.fields, "Connection");
    for (const auto& field : head.fields) {
        if (!isHopByHopField(field.name, connection ? *connection : std::string()))
            append(text, field.name, ": ", field.value, "\r\n");
    }
    append(text, framing, closesAfterResponse() ? "Connection: close\r\n" : "", "\r\n");
    return text;
}

std::string caller_session::formatResponse(const http_response_head& head, std::string_view body)
{
    auto text = formatHead(head, concatenated("Content-Length: ", body.size(), "\r\n"));
    text.append(body);
    return text;
}

void caller_session::sendResponse(const http_response_head& head, std::string_view body)
{
    m_keepAlive = !closesAfterResponse();
    m_channel->send(formatResponse(head, body));
    updateResponseMemory();
    onResponseDone();
}

void caller_session::beginStream(const http_response_head& head)
{
    m_keepAlive = m_chunked && !closesAfterResponse();
    m_streaming = true;
    m_channel->send(formatHead(head, m_chunked ? "Transfer-Encoding: chunked\r\n" : ""));
}

void caller_session::sendChunk(std::string_view bytes)
{
    if (m_chunked)
        m_channel->send(concatenated(hexadecimal(bytes.size()), "\r\n", bytes, "\r\n"));
    else
        m_channel->send(bytes);
    updateResponseMemory();
}

void caller_session::endStream()
{
    if (m_chunked)
        m_channel->send("0\r\n\r\n");
    onResponseDone();
}

void caller_session::abortResponse()
{
    m_keepAlive = false;
    logEnd("response_aborted");
    // Without chunks, the end of the connection is the end of the response.
    if (m_chunked)
        m_channel->close();
    else
        m_channel->reset();
    onResponseDone();
}

// The exchange is still on the call stack, so the next request is started from the event loop. The handler holds no
// reference: when the process ends, the event loop destroys it after the timers and the memory budget.
void caller_session::onResponseDone()
{
    boost::asio::post(m_loop, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_exchange.reset();
        self->m_requestMemory.set(0);
        if (!self->m_channel->isOpen()) {
            self->notifyClosed("response_aborted");
            return;
        }
        const bool closes = !self->m_keepAlive; // as the response has announced
        self->m_endReason = "response_complete";
        if (closes && !self->m_input.empty())
            self->logEnd(self->m_endReason);
        self->proceed(self->m_state.completeResponse(closes ? after_response::Close : after_response::KeepOpen,
            self->m_channel->queuedBytes() > 0, self->m_parts.timers.now()));
    });
}

void caller_session::closeAfterNextResponse()
{
    m_closing = true;
}

void caller_session::closeIfIdle()
{
    if (m_state.mayCloseAtStop(m_parts.timers.now()) && !m_channel->hasPendingInput())
        close("node_stops");
}

void caller_session::rejectIfWaiting()
{
    if (m_exchange)
        m_exchange->rejectIfWaitingAtShutdown();
}

void caller_session::abortForShutdown()
{
    m_state.endForStop();
    if (m_exchange)
        m_exchange->abortForShutdown(); // closes the connection after the response
    else
        close("node_stops");
}

void caller_session::close(std::string_view reason)
{
    m_channel->close();
    endExchange(reason);
}

// A caller that shuts down its sending direction counts as gone: it cannot be told from one that has closed.
void caller_session::onEnd(connection_end end)
{
    endExchange(end == connection_end::Closed     ? "closed_by_caller"
            : end == connection_end::Unresponsive ? "unresponsive"
                                                  : "reset");
}

void caller_session::endExchange(std::string_view reason)
{
    const auto phase = m_state.phase();
    const bool inProgress = m_exchange && !m_exchange->isFinished();
    if (inProgress || m_channel->hasUntakenBytes())
        logEnd(reason);
    if (inProgress)
        m_exchange->cancel();
    notifyClosed(phase == caller_phase::Lingering ? m_endReason : reason);
}

// Ends with a request in progress, with unread input or with unsent bytes are logged; all ends are counted.
void caller_session::logEnd(std::string_view reason)
{
    m_parts.log.write("connection_closed",
        { { "reason", std::string(reason) }, { "attempt", m_exchange ? m_exchange->attempt() : "" },
            { "in_progress", m_exchange && !m_exchange->isFinished() ? "true" : "false" },
            { "stopping", m_closing ? "true" : "false" }, { "unread_bytes", std::to_string(m_input.size()) },
            { "unsent_bytes", std::to_string(m_channel->queuedBytes()) },
            { "untaken_bytes", std::to_string(m_channel->sentBytes() - m_channel->takenBytes()) } });
}

void caller_session::notifyClosed(std::string_view reason)
{
    m_state.close();
    m_parts.timers.cancel(m_inputTimer);
    if (m_onClosed)
        m_parts.metrics.count(concatenated("connections_closed_", reason));
    auto onClosed = std::move(m_onClosed);
    m_onClosed = nullptr;
    if (onClosed)
        onClosed(shared_from_this());
}

} // namespace oriolepick
