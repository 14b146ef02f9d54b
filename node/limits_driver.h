/// \file
/// Exchanges demand reports and grants of team limits with the other nodes, on the control loop.
#pragma once

#include "core/grant_owner.h"
#include "node/team_limits.h"

#include <memory>
#include <vector>

namespace oriolepick {

class control_loop;
class fleet_state;
class peer_hub;

class limits_driver {
public:
    limits_driver(team_limits& limits, peer_hub& peers, control_loop& loop);

    /// Takes the usable nodes; on the control loop.
    void setNodes(const std::vector<node_id>& usable, instant now);

    /// Takes over the limits of the state in force; on the control loop.
    void applyState(const std::shared_ptr<const fleet_state>& state, instant now);

private:
    void sendReports(limit_unit unit, instant now);
    grant_owner& owner(limit_unit unit) { return unit == limit_unit::Tokens ? m_tokenOwner : m_requestOwner; }

    team_limits& m_limits;
    peer_hub& m_peers;
    grant_owner m_tokenOwner;
    grant_owner m_requestOwner;
    std::vector<node_id> m_nodes;
    std::vector<team_id> m_teams;
};

} // namespace oriolepick
