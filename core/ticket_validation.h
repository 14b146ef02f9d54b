/// \file
/// Validates a ticket against the state after all earlier tickets, and reports all errors at once.
#pragma once

#include "core/ticket.h"

#include <vector>

namespace oriolepick {

class fleet_state;

/// Checks that the state after \p change is consistent: every reference resolves; names, addresses and tokens are
/// unique where required; and no object is listed twice. The ticket's number is not checked.
/// \param before the state after all earlier tickets
/// \return all errors with their field paths; the path of an object outside the ticket starts with "kind fleet/name"
std::vector<field_error> validate(const ticket& change, const fleet_state& before);

} // namespace oriolepick
