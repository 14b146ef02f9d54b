/// \file
/// Parsing of socket addresses of the form "IP:PORT".
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string_view>

namespace oriolepick {

/// \return the endpoint that \p text denotes, or nothing if \p text is not an IP address with a port
std::optional<boost::asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text);

} // namespace oriolepick
