#include "gateway/tcp_connection.h"

#include "gateway/socket_address.h"

#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace oriolepick {

namespace asio = boost::asio;
using boost::system::error_code;

tcp_connection::tcp_connection(asio::ip::tcp::socket socket, const tcp_connection_settings& settings)
    : m_socket(std::move(socket))
    , m_settings(settings)
{
    if (m_socket.is_open())
        configure();
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
    set(TCP_KEEPCNT, m_settings.keepAliveProbes);
    set(TCP_USER_TIMEOUT, static_cast<int>(m_settings.userTimeout.count()));
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
                self->end(isOrderly ? connection_end::Closed : connection_end::Reset);
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
    if (!m_writeActive && m_output.empty()) {
        error_code error;
        const auto sent = m_socket.write_some(asio::buffer(bytes.data(), bytes.size()), error);
        if (!error)
            bytes.remove_prefix(sent);
        else if (error != asio::error::would_block && error != asio::error::try_again) {
            m_writeFailed = m_isOutgoing;
            // Posted, so that the listener is notified only after the code that called send() has returned.
            asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->onWriteFailed(); });
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
                self->onWriteFailed();
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
void tcp_connection::onWriteFailed()
{
    if (!m_isOutgoing || m_closing) {
        end(connection_end::Reset);
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
    m_open = false;
    error_code ignored; // both calls fail if the peer has already closed the connection, which does no harm
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void tcp_connection::reset()
{
    if (!m_open)
        return;
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
