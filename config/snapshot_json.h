/// \file
/// The state in force as JSON: for snapshot objects, the start of a node from its peers, and reading back.
#pragma once

#include "core/error.h"
#include "core/fleet_state.h"

#include <memory>
#include <string>
#include <string_view>

namespace oriolepick {

constexpr std::size_t MaxSnapshotBytes = 67'108'864; ///< 12,000 targets take about 3 MB

/// \return the canonical JSON of \p state: equal states give equal texts
std::string encodeSnapshot(const fleet_state& state);

/// Parses a snapshot.
/// \return the state, or TicketInvalid with every error by field path
result<std::shared_ptr<const fleet_state>> parseSnapshot(std::string_view text);

} // namespace oriolepick
