#include "core/grant_owner.h"

#include "core/rendezvous.h"
#include "core/stable_hash.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

node_id grantOwnerOf(const team_id& team, const std::vector<node_id>& nodes)
{
    const auto owners = responsibleNodes(stableHash(team.text()), nodes, 1);
    return owners.empty() ? node_id() : owners.front();
}

grant_owner::grant_owner(node_id self, grant_owner_settings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void grant_owner::setNodes(const std::vector<node_id>& nodes, instant now)
{
    m_nodes = nodes;
    for (auto& [team, state] : m_teams)
        updateOwnership(team, state, now);
}

void grant_owner::setLimit(const team_id& team, const team_limit& limit, instant now)
{
    auto& state = m_teams[team];
    state.limit = limit;
    updateOwnership(team, state, now);
}

void grant_owner::removeLimit(const team_id& team)
{
    m_teams.erase(team);
}

std::optional<team_grant> grant_owner::answer(const node_id& node, const demand_report& report, instant now)
{
    const auto position = m_teams.find(report.team);
    if (position == m_teams.end() || !position->second.owned)
        return std::nullopt;
    auto& state = position->second;
    eraseExpired(state, now);
    // Demand is learned during the silence, so that the first grants are already fair.
    auto& share = state.shares[node];
    share.demand = std::max(report.tokensPerSecond, 0.0);
    share.reportedAt = now;
    if (now < state.takeoverEnd)
        return std::nullopt;
    const double grantableRate = state.limit.tokensPerSecond * (1 - state.limit.fixedShare);
    double others = 0;
    for (const auto& [other, otherShare] : state.shares)
        others += other == node ? 0 : largestUnexpiredGrant(otherShare, now);
    double demandSum = 0;
    for (const auto& [other, otherShare] : state.shares)
        demandSum += otherShare.demand;
    const double spareRate = std::max(0.0, grantableRate - demandSum) * (1 - m_settings.reserve);
    const double wanted
        = maxMinFairShare(state, node, grantableRate) + spareRate / static_cast<double>(state.shares.size());
    const double granted = std::clamp(wanted, 0.0, std::max(0.0, grantableRate - others));
    share.issued.push_back({ granted, now + m_settings.validFor });
    return team_grant { report.team, granted, m_settings.validFor, report.sequence };
}

double grant_owner::outstanding(const team_id& team, instant now) const
{
    const auto position = m_teams.find(team);
    if (position == m_teams.end())
        return 0;
    double sum = 0;
    for (const auto& [node, share] : position->second.shares)
        sum += largestUnexpiredGrant(share, now);
    return sum;
}

bool grant_owner::owns(const team_id& team) const
{
    const auto position = m_teams.find(team);
    return position != m_teams.end() && position->second.owned;
}

void grant_owner::updateOwnership(const team_id& team, team_state& state, instant now)
{
    const bool owned = grantOwnerOf(team, m_nodes) == m_self;
    if (owned == state.owned)
        return;
    state.owned = owned;
    if (owned) {
        state.takeoverEnd = now + m_settings.takeoverDelay;
        state.shares.clear();
    }
}

void grant_owner::eraseExpired(team_state& state, instant now) const
{
    for (auto position = state.shares.begin(); position != state.shares.end();) {
        auto& share = position->second;
        auto& issued = share.issued;
        issued.erase(
            std::remove_if(issued.begin(), issued.end(), [&](const auto& grant) { return grant.expires <= now; }),
            issued.end());
        const bool stale = now - share.reportedAt > m_settings.validFor;
        position = issued.empty() && stale ? state.shares.erase(position) : std::next(position);
    }
}

double grant_owner::largestUnexpiredGrant(const node_share& share, instant now)
{
    double largest = 0;
    for (const auto& grant : share.issued) {
        if (grant.expires > now)
            largest = std::max(largest, grant.tokensPerSecond);
    }
    return largest;
}

// Max-min fairness: small demands are met in full, the rest is divided equally among the larger ones.
double grant_owner::maxMinFairShare(const team_state& state, const node_id& node, double grantableRate)
{
    std::vector<double> demands;
    demands.reserve(state.shares.size());
    for (const auto& [other, share] : state.shares)
        demands.push_back(share.demand);
    std::sort(demands.begin(), demands.end());
    const double own = state.shares.at(node).demand;
    double left = grantableRate;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const double equal = left / static_cast<double>(demands.size() - index);
        if (demands[index] >= equal)
            return std::min(own, equal);
        left -= demands[index];
    }
    return own;
}

} // namespace oriolepick
