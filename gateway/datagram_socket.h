/// \file
/// Datagrams between nodes: short messages that may be lost, late or repeated.
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

/// Sends without waiting: a datagram that does not fit into the socket's buffer is dropped, as the network may do too.
class datagram_socket {
public:
    using receiver = std::function<void(std::string_view bytes)>;

    /// \param address "IP:PORT" to receive at
    /// \param onReceived called for each datagram; its bytes are valid during the call
    datagram_socket(boost::asio::io_context& loop, const std::string& address, receiver onReceived);

    /// Sends \p bytes to \p address ("IP:PORT").
    /// \return whether the datagram was handed to the network
    bool send(const std::string& address, std::string_view bytes);

private:
    void receive();

    static constexpr std::size_t MaxDatagramBytes = 8'192; ///< members of a page fit into a fourth of it

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, MaxDatagramBytes> m_input;
    receiver m_onReceived;
};

} // namespace oriolepick
