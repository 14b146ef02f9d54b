#include "gateway/node_row.h"

#include "gateway/socket_address.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

std::string encodeNodeRow(const node_row& row)
{
    return nlohmann::json { { "zone", row.zone.value() }, { "peer_address", row.node.value() } }.dump();
}

std::optional<node_row> decodeNodeRow(std::string_view text)
{
    try {
        const auto root = nlohmann::json::parse(text);
        const auto address = root.at("peer_address").get<std::string>();
        if (!parseSocketAddress(address))
            return std::nullopt;
        return node_row { availability_zone(root.at("zone").get<std::string>()), node_id(address) };
    } catch (const std::exception&) {
        return std::nullopt; // the caller counts malformed rows
    }
}

} // namespace oriolepick
