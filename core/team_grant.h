/// \file
/// Messages between the nodes and the grant owner of a team. All rates are in tokens per second and count prompt and
/// output tokens.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>

namespace oriolepick {

/// The demand for a team's tokens at one node, sent to the team's grant owner.
struct demand_report {
    team_id team;
    double tokensPerSecond = 0; ///< offered load of the callers, both admitted and refused
    std::uint64_t sequence = 0; ///< sequence number of the reporting node, echoed in the grant
};

/// Response of the grant owner to a demand report.
struct team_grant {
    team_id team;
    double tokensPerSecond = 0; ///< in addition to the node's part of the fixed share
    std::chrono::milliseconds validFor { 0 }; ///< counted from the time when the report was sent
    std::uint64_t sequence = 0; ///< sequence number of the report
};

/// A limit on a team's token rate, summed over all nodes.
struct team_limit {
    double tokensPerSecond = 0;
    double fixedShare = 0.1; ///< share of the limit that is usable without a grant, divided equally among the nodes
};

} // namespace oriolepick
