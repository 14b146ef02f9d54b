// The kernel's TCP_USER_TIMEOUT also ends connections to peers that read slowly: it counts from when the window closed,
// while the peer answers each probe of it. Where the kernel tells when the peer has last acknowledged anything, the
// connection therefore decides by itself whether the peer is gone.
#include "gateway/tcp_connection.h"

#include "gateway/send_state.h"
#include "gateway/send_time_support.h"
#include "gateway/socket_address.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace oriolepick {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    /// TCP_RTO_MAX_MS of Linux 6.15, which the C library does not declare yet.
    constexpr int MaxRetransmissionIntervalOption = 44;
    constexpr int ShortRetransmissionIntervalMs = 1'000; ///< the least that the kernel accepts
    constexpr int DefaultRetransmissionIntervalMs = 120'000;
    /// Probes of an idle connection. The kernel's time-out ended it after the first one that was not answered, too.
    constexpr int IdleProbes = 1;
    constexpr int IdleProbesWithTimeout = 2;

    connection_end endOf(const error_code& error)
    {
        return error == asio::error::timed_out ? connection_end::Unresponsive : connection_end::Reset;
    }

    /// What was learned from all connections of this process.
    send_time_support& sendTimes()
    {
        static send_time_support support;
        return support;
    }

} // namespace

tcp_connection::tcp_connection(asio::ip::tcp::socket socket, const tcp_connection_settings& settings)
    : m_socket(std::move(socket))
    , m_settings(settings)
    , m_peerTimer(m_socket.get_executor())
    , m_peerWatch(settings.userTimeout - PeerCheckInterval)
{
    if (!m_socket.is_open())
        return;
    configure();
    liftKernelTimeout();
}

tcp_connection::~tcp_connection()
{
    probeWindowOften(false);
}

void tcp_connection::configure()
{
    error_code ignored; // without an option the connection still works, but detects a dead peer later
    m_socket.non_blocking(true, ignored);
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto set = [this](int option, int value) {
        setsockopt(m_socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    set(TCP_KEEPIDLE, static_cast<int>(m_settings.keepAliveIdle.count()));
    set(TCP_KEEPINTVL, static_cast<int>(m_settings.keepAliveInterval.count()));
    set(TCP_KEEPCNT, IdleProbesWithTimeout);
    set(TCP_USER_TIMEOUT, static_cast<int>(m_settings.userTimeout.count()));
}

// Called once the connection is established: until then the kernel's time-out limits the time of the handshake.
void tcp_connection::liftKernelTimeout()
{
    if (!sendTimes().isKnown() || std::exchange(m_timeoutLifted, true))
        return;
    const int socket = m_socket.native_handle();
    const int none = 0;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &none, sizeof none);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &IdleProbes, sizeof IdleProbes);
}

std::size_t tcp_connection::untakenBytes()
{
    const bool isOpen = m_open && m_socket.is_open();
    return isOpen ? queuedBytes() + unacknowledgedBytes(m_socket.native_handle()) : m_untakenAtEnd;
}

std::uint64_t tcp_connection::takenBytes()
{
    return m_sentBytes - std::min<std::uint64_t>(m_sentBytes, untakenBytes()); // the kernel counts the end, too
}

void tcp_connection::watchPeer()
{
    if (m_watching || !m_open || sendTimes().isRuledOut())
        return;
    m_watching = true;
    m_peerTimer.expires_after(PeerCheckInterval);
    m_peerTimer.async_wait([weak = weak_from_this()](const error_code& error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        self->m_watching = false;
        self->checkPeer();
    });
}

void tcp_connection::checkPeer()
{
    if (!m_open)
        return;
    const auto state = readSendState(m_socket.native_handle());
    if (state)
        sendTimes().observe(*state);
    if (!state || !state->unacknowledgedBytes) {
        m_peerWatch.reset();
        probeWindowOften(false);
        return;
    }
    liftKernelTimeout();
    if (!m_timeoutLifted) {
        watchPeer();
        return;
    }
    probeWindowOften(state->probesWindow);
    // What the peer has sent before it went is read first.
    if (m_peerWatch.isGone(*state, std::chrono::steady_clock::now()) && !hasPendingInput()) {
        error_code ignored; // without it the kernel goes on to send the bytes for minutes
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        end(connection_end::Unresponsive);
        return;
    }
    watchPeer();
}

// The interval of the probes doubles up to two minutes, and a peer that goes meanwhile would be noticed as late.
// Earlier kernels lack the option. It is taken back before the connection is closed with unsent bytes, because the
// kernel gives up sooner with it.
void tcp_connection::probeWindowOften(bool often)
{
    if (often == m_probesOften || !m_socket.is_open())
        return;
    m_probesOften = often;
    const int interval = often ? ShortRetransmissionIntervalMs : DefaultRetransmissionIntervalMs;
    setsockopt(m_socket.native_handle(), IPPROTO_TCP, MaxRetransmissionIntervalOption, &interval, sizeof interval);
}

void tcp_connection::connect(const std::string& address)
{
    const auto endpoint = parseSocketAddress(address);
    error_code error;
    if (endpoint)
        m_socket.open(endpoint->protocol(), error);
    if (!endpoint || error) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->end(connection_end::NotConnected); });
        return;
    }
    configure();
    m_isOutgoing = true;
    m_connecting = true;
    m_socket.async_connect(*endpoint, [self = shared_from_this()](const error_code& failed) {
        self->m_connecting = false;
        if (!self->m_open)
            return;
        if (failed) {
            self->end(
                failed == asio::error::connection_refused ? connection_end::Refused : connection_end::Unreachable);
            return;
        }
        self->liftKernelTimeout();
        if (const auto listener = self->m_listener.lock())
            listener->onConnected();
        self->startReading();
    });
}

void tcp_connection::startReading()
{
    if (!m_reading && m_open && !m_paused)
        read();
}

void tcp_connection::pauseReading(bool paused)
{
    m_paused = paused;
    startReading();
}

bool tcp_connection::hasPendingInput()
{
    if (!m_open || !m_socket.is_open())
        return false;
    pollfd poll {};
    poll.fd = m_socket.native_handle();
    poll.events = m_connecting ? POLLOUT : POLLIN;
    return ::poll(&poll, 1, 0) > 0;
}

void tcp_connection::read()
{
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_input), [self = shared_from_this()](const error_code& error, std::size_t size) {
            self->m_reading = false;
            if (!self->m_open)
                return;
            if (error) {
                // A failed write takes the error of the socket, and reading reports an orderly end.
                const bool isOrderly = error == asio::error::eof && !self->m_writeFailed;
                self->end(isOrderly ? connection_end::Closed : endOf(error));
                return;
            }
            if (const auto listener = self->m_listener.lock())
                listener->onBytes({ self->m_input.data(), size });
            self->startReading();
        });
}

void tcp_connection::send(std::string_view bytes)
{
    if (!m_open || m_writeFailed)
        return;
    m_sentBytes += bytes.size();
    watchPeer();
    if (!m_writeActive && m_output.empty()) {
        error_code error;
        const auto sent = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (!error)
            bytes.remove_prefix(sent);
        else if (error != asio::error::would_block && error != asio::error::try_again) {
            m_writeFailed = m_isOutgoing;
            // Posted, so that the listener is notified only after the code that called send() has returned.
            asio::post(m_socket.get_executor(), [self = shared_from_this(), error] { self->onWriteFailed(error); });
            return;
        }
    }
    if (bytes.empty())
        return;
    m_output.append(bytes);
    write();
}

void tcp_connection::write()
{
    if (m_writeActive || m_output.empty())
        return;
    m_writeActive = true;
    m_writing.swap(m_output);
    m_output.clear();
    asio::async_write(
        m_socket, asio::buffer(m_writing), [self = shared_from_this()](const error_code& error, std::size_t) {
            self->m_writeActive = false;
            self->m_writing.clear();
            if (!self->m_open)
                return;
            if (error) {
                self->onWriteFailed(error);
                return;
            }
            self->write();
            if (self->m_writeActive)
                return;
            if (self->m_closing)
                self->close();
            else if (const auto listener = self->m_listener.lock())
                listener->onDrained();
        });
}

// The event loop reports a failed write before the bytes that arrived ahead of the failure.
void tcp_connection::onWriteFailed(const error_code& error)
{
    if (!m_isOutgoing || m_closing) {
        end(endOf(error));
        return;
    }
    m_writeFailed = true;
    m_output.clear();
    startReading();
}

void tcp_connection::closeAfterSending()
{
    m_closing = true;
    if (!m_writeActive && m_output.empty())
        close();
}

void tcp_connection::shutDownSending()
{
    error_code ignored; // fails if the peer has already closed the connection, which reading reports
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    pauseReading(false);
}

void tcp_connection::close()
{
    if (!m_open)
        return;
    m_untakenAtEnd = untakenBytes();
    probeWindowOften(false);
    m_peerTimer.cancel();
    m_open = false;
    error_code ignored; // both calls fail if the peer has already closed the connection, which does no harm
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void tcp_connection::reset()
{
    if (!m_open)
        return;
    m_untakenAtEnd = untakenBytes();
    m_peerTimer.cancel();
    m_open = false;
    error_code ignored; // fails if the peer has already closed the connection
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void tcp_connection::end(connection_end end)
{
    if (!m_open)
        return;
    close();
    if (const auto listener = m_listener.lock())
        listener->onEnd(end);
}

} // namespace oriolepick
