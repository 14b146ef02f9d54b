/// \file
/// A node's own row in the platform's store, by which nodes that know no other find each other.
#pragma once

#include "core/names.h"

#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// What a node writes of itself.
struct node_row {
    availability_zone zone;
    node_id node; ///< "IP:PORT" for other nodes
};

/// \return {"zone":…,"peer_address":…}
std::string encodeNodeRow(const node_row& row);

/// \return the row, or nothing when it cannot be read or names no address
std::optional<node_row> decodeNodeRow(std::string_view text);

} // namespace oriolepick
