/// \file
/// The row of a node in the platform's store, by which isolated nodes find other nodes.
#pragma once

#include "core/names.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// The entry that a node writes about itself.
struct node_row {
    availability_zone zone;
    node_id node; ///< "IP:PORT" where other nodes contact this node
};

/// \return {"zone":…,"peer_address":…}
std::string encodeNodeRow(const node_row& row);

/// \return the row, or nothing when it is malformed or its address is invalid
std::optional<node_row> decodeNodeRow(std::string_view text);

} // namespace oriolepick
