/// \file
/// Distribution of a team's rate limit among the nodes. For each team, one node issues the grants: the grant owner.
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
    /// A new owner issues no grants for this time, so that the grants of the previous owner expire first. It must be at
    /// least validFor; a longer delay covers nodes that detect the change of owner later.
    std::chrono::milliseconds takeoverDelay { 5'000 };
    double reserve = 0.5; ///< share of the spare rate that is kept for nodes that have not reported yet
};

/// \param nodes the nodes that are alive or suspected, in any order
/// \return the node that owns the grants of \p team by rendezvous hashing, or an empty ID if \p nodes is empty
node_id grantOwnerOf(const team_id& team, const std::vector<node_id>& nodes);

/// Issues the grants of the teams that this node owns. The sum of a team's unexpired grants never exceeds its limit
/// minus the fixed share, even if grants or reports are lost, because each node is counted with its largest unexpired
/// grant.
class grant_owner {
public:
    explicit grant_owner(node_id self, grant_owner_settings settings = {});

    /// Updates the membership view. For a team that this node starts to own, it issues no grants during takeoverDelay
    /// and discards the grants of an earlier ownership.
    /// \param nodes the nodes that are alive or suspected, including this one
    void setNodes(const std::vector<node_id>& nodes, instant now);

    void setLimit(const team_id& team, const team_limit& limit, instant now);
    void removeLimit(const team_id& team);

    /// Handles a demand report of \p node.
    /// \return the grant, or nothing if this node does not own the team or the takeover delay has not ended
    std::optional<team_grant> answer(const node_id& node, const demand_report& report, instant now);

    /// \return the sum of the unexpired grants of \p team, in tokens per second; each node counts with its largest
    ///     grant
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
