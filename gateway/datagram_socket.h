/// \file
/// UDP datagrams between nodes: short messages that may be lost, delayed or duplicated.
#pragma once

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace oriolepick {

/// A non-blocking UDP socket. A datagram that does not fit into the send buffer is dropped, as the network may do too.
class datagram_socket {
public:
    using receiver = std::function<void(std::string_view bytes)>;

    /// \param address "IP:PORT" that the socket is bound to
    /// \param onReceived called for each datagram; its bytes are valid during the call
    datagram_socket(boost::asio::io_context& loop, const std::string& address, receiver onReceived);

    /// Sends \p bytes to \p address ("IP:PORT").
    /// \return whether the kernel accepted the datagram
    bool send(const std::string& address, std::string_view bytes);

    /// \return whether a datagram waits to be received. Costs a system call.
    bool hasPendingInput();

private:
    void receive();
    void receiveQueued();

    static constexpr std::size_t MaxDatagramBytes = 8'192; ///< a page of members takes a fourth of this
    static constexpr std::size_t MaxQueuedDatagrams = 64; ///< received in one turn of the event loop

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, MaxDatagramBytes> m_input;
    receiver m_onReceived;
};

} // namespace oriolepick
