/// \file
/// Division of a team's limit among the nodes by the one node that owns the team's grants.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/team_grant.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriolepick {

/// Settings of grant_owner.
struct grant_owner_settings {
    std::chrono::milliseconds validFor { 5'000 };
    /// A new owner issues nothing for this time: the previous owner's grants have ended by then. Must be at least
    /// validFor; more covers nodes that learn later of the change of owner.
    std::chrono::milliseconds takeoverDelay { 5'000 };
    double reserve = 0.5; ///< share of the unclaimed rate kept for nodes that have not reported yet
};

/// \param nodes the nodes that are alive or suspected, in any order
/// \return the node that owns the grants of \p team by rendezvous hash, empty when \p nodes is
node_id grantOwnerOf(const team_id& team, const std::vector<node_id>& nodes);

/// The grants that this node issues. The sum of the unexpired grants of a team never exceeds its limit less the fixed
/// share, also when grants or reports are lost, because a node counts with its largest unexpired grant.
class grant_owner {
public:
    explicit grant_owner(node_id self, grant_owner_settings settings = {});

    /// Takes a new view of the membership. Teams that become owned stay silent; other teams are forgotten.
    /// \param nodes the nodes that are alive or suspected, including this one
    void setNodes(const std::vector<node_id>& nodes, instant now);

    void setLimit(const team_id& team, const team_limit& limit, instant now);
    void removeLimit(const team_id& team);

    /// Answers a report of \p node.
    /// \return the grant, or nothing when this node does not own the team or must stay silent
    std::optional<team_grant> answer(const node_id& node, const demand_report& report, instant now);

    /// \return the sum of the unexpired grants of \p team
    double outstanding(const team_id& team, instant now) const;

    bool owns(const team_id& team) const;

private:
    struct issued_grant {
        double tokensPerSecond = 0;
        instant expires;
    };
    struct node_share {
        double demand = 0;
        instant reportedAt;
        std::vector<issued_grant> issued; // unexpired, oldest first
    };
    struct team_state {
        team_limit limit;
        bool owned = false;
        instant takeoverEnd;
        std::map<node_id, node_share> shares;
    };

    void updateOwnership(const team_id& team, team_state& state, instant now);
    void eraseExpired(team_state& state, instant now) const;
    static double largestUnexpiredGrant(const node_share& share, instant now);
    static double maxMinFairShare(const team_state& state, const node_id& node, double grantableRate);

    node_id m_self;
    grant_owner_settings m_settings;
    std::vector<node_id> m_nodes;
    std::map<team_id, team_state> m_teams;
};

} // namespace oriolepick
