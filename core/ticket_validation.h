/// \file
/// Checks a ticket against the fold of all earlier tickets, and reports every error at once.
#pragma once

#include "core/ticket.h"

#include <vector>

namespace oriolepick {

class fleet_state;

/// Checks that the state after \p change is consistent: every reference resolves, names, addresses and tokens are
/// unique where they must be, and no object is listed twice. The ticket's number is not checked here.
/// \param before the fold of all earlier tickets
/// \return all errors by field path; an object that the ticket does not contain is named as "kind fleet/name"
std::vector<field_error> validate(const ticket& change, const fleet_state& before);

} // namespace oriolepick
