/// \file
/// Messages between the nodes and the grant owner of a team. All rates are in tokens per second, prompt and output
/// tokens together.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>

namespace oriolepick {

/// A node's demand for a team's tokens, sent to the team's grant owner.
struct demand_report {
    team_id team;
    double tokensPerSecond = 0; ///< offered by callers, whether admitted or refused
    std::uint64_t sequence = 0; ///< of the reporting node, repeated in the grant
};

/// The owner's answer to a demand report.
struct team_grant {
    team_id team;
    double tokensPerSecond = 0; ///< in addition to the fixed share
    std::chrono::milliseconds validFor { 0 }; ///< counted from the send time of the report
    std::uint64_t sequence = 0; ///< of the report that this answers
};

/// A limit on a team's tokens over all nodes.
struct team_limit {
    double tokensPerSecond = 0;
    double fixedShare = 0.1; ///< of the limit, usable without a grant, divided equally among the nodes
};

} // namespace oriolepick
