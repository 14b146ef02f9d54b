#include "gateway/socket_address.h"

#include "core/text.h"

namespace oriolepick {

std::optional<boost::asio::ip::tcp::endpoint> parseSocketAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parseNumber<std::uint16_t>(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    if (error)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, *port);
}

} // namespace oriolepick
