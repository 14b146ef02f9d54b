/// \file
/// One open call as the desk keeps it.
#pragma once

#include "core/call_coordinator.h"

namespace oriolepick {

/// A claim with the desk's indexes of it.
struct call_coordinator::open_call {
    open_call(call_number given, const call_settings& settings, call_request request, const node_id& node,
        std::string claimId)
        : number(given)
        , claim(settings, std::move(request), node, std::move(claimId))
    {
    }

    call_number number;
    call_claim claim;
    std::string followedClaimId; ///< claim under which this call is indexed as a follower
    node_id followedNode;
    std::vector<node_id> followers; ///< nodes to tell how this claim ends
    std::optional<instant> timer; ///< entry in the desk's timers
};

} // namespace oriolepick
