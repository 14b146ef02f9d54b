/// \file
/// Textual socket addresses, "IP:PORT".
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace oriolepick {

/// \return the endpoint named by \p text, or nothing when it is no IP address with a port
std::optional<boost::asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text);

} // namespace oriolepick
