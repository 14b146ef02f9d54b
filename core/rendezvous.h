/// \file
/// Rendezvous hashing over nodes: which of them are responsible for a key, with no agreement but on the list of nodes.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <vector>

namespace oriolepick {

/// \param key hash of what the nodes are responsible for
/// \return the \p count nodes with the highest scores, the highest first; a node that comes or goes changes nothing
/// else about the order
std::vector<node_id> responsibleNodes(std::uint64_t key, const std::vector<node_id>& nodes, std::size_t count);

} // namespace oriolepick
