/// \file
/// Rendezvous hashing over nodes. Nodes with the same list of nodes compute the same responsible nodes for a key
/// without further coordination.
#pragma once

#include "core/names.h"

#include <cstdint>
#include <vector>

namespace oriolepick {

/// \param key hash of the object that the nodes are responsible for
/// \return the \p count nodes with the highest scores, the highest first; adding or removing a node does not change the
/// order of the other nodes
std::vector<node_id> responsibleNodes(std::uint64_t key, const std::vector<node_id>& nodes, std::size_t count);

} // namespace oriolepick
