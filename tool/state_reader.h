/// \file
/// The fold of accepted tickets, read from the platform.
#pragma once

#include "core/error.h"
#include "core/fleet_state.h"
#include "ports/ticket_store.h"

#include <memory>
#include <optional>

namespace oriolepick {

class node_reader;

/// Folds the tickets in the platform.
/// \param at the number to fold up to; nothing for the last accepted
/// \return the state, or PlatformUnavailable, or BadRequest when the number is not accepted or compacted
result<std::shared_ptr<const fleet_state>> readStateAt(const ticket_store& store, std::optional<ticket_number> at);

/// Reads the state in force from a node.
/// \param token the operators' bearer token
result<std::shared_ptr<const fleet_state>> readNodeState(
    node_reader& nodes, const std::string& address, const std::string& token);

} // namespace oriolepick
