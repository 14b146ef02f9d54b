#include "gateway/datagram_socket.h"

#include "gateway/socket_address.h"

#include <boost/asio/io_context.hpp>

#include <poll.h>

namespace oriolepick {

namespace asio = boost::asio;

namespace {

    asio::ip::udp::endpoint datagramEndpoint(const asio::ip::tcp::endpoint& endpoint)
    {
        return { endpoint.address(), endpoint.port() };
    }

} // namespace

datagram_socket::datagram_socket(asio::io_context& loop, const std::string& address, receiver onReceived)
    : m_socket(loop, datagramEndpoint(parseSocketAddress(address).value()))
    , m_onReceived(std::move(onReceived))
{
    m_socket.non_blocking(true);
    receive();
}

bool datagram_socket::send(const std::string& address, std::string_view bytes)
{
    const auto endpoint = parseSocketAddress(address);
    if (!endpoint)
        return false;
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), datagramEndpoint(*endpoint), 0, error);
    return !error;
}

bool datagram_socket::hasPendingInput()
{
    pollfd poll {};
    poll.fd = m_socket.native_handle();
    poll.events = POLLIN;
    return ::poll(&poll, 1, 0) > 0;
}

void datagram_socket::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_input), m_sender, [this](const boost::system::error_code& error, std::size_t size) {
            if (error == asio::error::operation_aborted)
                return;
            // Other errors report (by ICMP) that an earlier datagram could not be delivered.
            if (!error)
                m_onReceived({ m_input.data(), size });
            receiveQueued();
            receive();
        });
}

// Timers that are due already would run before a further asynchronous receive, and judge answers that have arrived.
void datagram_socket::receiveQueued()
{
    for (std::size_t count = 0; count < MaxQueuedDatagrams; ++count) {
        boost::system::error_code error;
        const auto size = m_socket.receive_from(asio::buffer(m_input), m_sender, 0, error);
        if (error)
            return; // none is left, or an earlier datagram could not be delivered
        m_onReceived({ m_input.data(), size });
    }
}

} // namespace oriolepick
