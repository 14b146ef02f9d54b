/// \file
/// State of one open call in the coordinator.
#pragma once

#include "core/call_coordinator.h"

namespace oriolepick {

/// A claim with the keys of its entries in the indexes of the coordinator.
struct call_coordinator::open_call {
    open_call(call_number given, const call_settings& settings, call_request request, const node_id& node,
        std::string claimId)
        : number(given)
        , claim(settings, std::move(request), node, std::move(claimId))
    {
    }

    call_number number;
    call_claim claim;
    std::string followedClaimId; ///< key of this call in the index of followers; empty unless it follows a claim
    node_id followedNode;
    std::vector<node_id> followers; ///< nodes that receive the outcome of this claim
    std::optional<instant> timer; ///< time of this call in the coordinator's timers
};

} // namespace oriolepick
