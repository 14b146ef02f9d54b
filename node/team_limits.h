/// \file
/// The limits of all teams on this node, usable by all request threads: tokens, requests, and open requests.
#pragma once

#include "core/team_limiter.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace oriolepick {

class fleet_state;

/// What a rate of a team counts.
enum class limit_unit { Tokens, Requests };

class team_limits {
public:
    team_limits();

    /// Takes over the limits of the state in force.
    void applyState(const std::shared_ptr<const fleet_state>& state, instant now);

    /// Takes the number of nodes that share the limits.
    void setNodeCount(std::uint32_t nodes, instant now);

    /// Admits a request and counts it as open.
    /// \param tokens prompt tokens and the most output tokens
    /// \return LimitExceeded with the time to wait
    result<void> admit(const team_id& team, std::uint32_t tokens, instant now);

    /// Ends a request that was admitted.
    /// \param unusedTokens the part of its tokens that it did not use
    void release(const team_id& team, std::uint32_t unusedTokens, instant now);

    std::vector<demand_report> dueReports(limit_unit unit, instant now);
    void applyGrant(limit_unit unit, const team_grant& grant, instant now);

private:
    struct open_count {
        int open = 0;
        int limit = 0; ///< on this node; 0 for none
        int fleetLimit = 0;
    };

    team_limiter& limiter(limit_unit unit) { return unit == limit_unit::Tokens ? m_tokens : m_requests; }
    void updateOpenLimits();

    std::mutex m_mutex;
    team_limiter m_tokens;
    team_limiter m_requests;
    std::uint32_t m_nodes = 1;
    std::map<team_id, open_count> m_open;
};

} // namespace oriolepick
