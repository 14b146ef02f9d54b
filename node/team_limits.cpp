#include "node/team_limits.h"

#include "core/fleet_state.h"

#include <algorithm>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds RetryOpenLimit { 500 };

} // namespace

team_limits::team_limits() = default;

void team_limits::applyState(const std::shared_ptr<const fleet_state>& state, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<team_id> removed;
    for (const auto& [team, count] : m_open) {
        if (!state->team(team))
            removed.push_back(team);
    }
    for (const auto& team : removed) {
        m_open.erase(team);
        m_tokens.removeLimit(team);
        m_requests.removeLimit(team);
    }
    for (const auto& [team, settings] : state->teams()) {
        m_open[team].fleetLimit = settings->concurrentRequests;
        if (settings->tokensPerSecond > 0)
            m_tokens.setLimit(team, { settings->tokensPerSecond }, now);
        else
            m_tokens.removeLimit(team);
        if (settings->requestsPerSecond > 0)
            m_requests.setLimit(team, { settings->requestsPerSecond }, now);
        else
            m_requests.removeLimit(team);
    }
    updateOpenLimits();
}

void team_limits::setNodeCount(std::uint32_t nodes, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_nodes = std::max<std::uint32_t>(1, nodes);
    m_tokens.setNodeCount(m_nodes, now);
    m_requests.setNodeCount(m_nodes, now);
    updateOpenLimits();
}

void team_limits::updateOpenLimits()
{
    // Rounded up, so that a small limit never becomes 0; the overshoot is below one request a node.
    const auto nodes = static_cast<int>(m_nodes);
    for (auto& [team, count] : m_open)
        count.limit = (count.fleetLimit + nodes - 1) / nodes;
}

result<void> team_limits::admit(const team_id& team, std::uint32_t tokens, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto& count = m_open[team];
    if (count.limit && count.open >= count.limit) {
        return error { error_kind::LimitExceeded,
            "team " + team.text() + " has " + std::to_string(count.open) + " open requests on this node",
            RetryOpenLimit };
    }
    auto admitted = m_requests.admit(team, 1, now);
    if (!admitted)
        return admitted;
    admitted = m_tokens.admit(team, tokens, now);
    if (!admitted) {
        m_requests.refund(team, 1, now);
        return admitted;
    }
    ++count.open;
    return success();
}

void team_limits::release(const team_id& team, std::uint32_t unusedTokens, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_open.find(team);
    if (found != m_open.end() && found->second.open > 0)
        --found->second.open;
    m_tokens.refund(team, unusedTokens, now);
}

std::vector<demand_report> team_limits::dueReports(limit_unit unit, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return limiter(unit).dueReports(now);
}

void team_limits::applyGrant(limit_unit unit, const team_grant& grant, instant now)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    limiter(unit).applyGrant(grant, now);
}

} // namespace oriolepick
