/// \file
/// What a ticket changes, field by field.
#pragma once

#include "core/ticket.h"

#include <string>
#include <vector>

namespace oriolepick {

class fleet_state;

/// One changed field, or a whole object that appears or disappears (then \c field is empty).
struct field_change {
    object_key object;
    std::string field; ///< JSON pointer into the state, for example "/targets/0"
    std::string before; ///< JSON; empty when absent
    std::string after; ///< JSON; empty when absent
};

/// \return the changes from \p before by \p change, in the ticket's order
std::vector<field_change> changesOf(const ticket& change, const fleet_state& before);

} // namespace oriolepick
