#include "node/limits_driver.h"

#include "core/fleet_state.h"
#include "node/control_loop.h"
#include "node/peer_hub.h"
#include "wire/grant_codec.h"
#include "wire/messages.pb.h"

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds ReportPeriod { 100 };

    limit_unit unitOf(bool requests)
    {
        return requests ? limit_unit::Requests : limit_unit::Tokens;
    }

} // namespace

limits_driver::limits_driver(team_limits& limits, peer_hub& peers, control_loop& loop)
    : m_limits(limits)
    , m_peers(peers)
    , m_tokenOwner(peers.self())
    , m_requestOwner(peers.self())
{
    peers.handle(
        wire::envelope::kDemandReport, [this](const node_id& sender, const wire::envelope& message, instant now) {
            const auto report = decode(message.demand_report());
            if (!report)
                return false;
            const bool requests = message.demand_report().requests();
            if (const auto grant = owner(unitOf(requests)).answer(sender, *report, now)) {
                wire::envelope answer;
                encode(*grant, *answer.mutable_team_grant());
                answer.mutable_team_grant()->set_requests(requests);
                m_peers.send(sender, std::move(answer));
            }
            return true;
        });
    peers.handle(wire::envelope::kTeamGrant, [this](const node_id&, const wire::envelope& message, instant now) {
        const auto grant = decode(message.team_grant());
        if (grant)
            m_limits.applyGrant(unitOf(message.team_grant().requests()), *grant, now);
        return grant.has_value();
    });
    loop.every(ReportPeriod, [this](instant now) {
        sendReports(limit_unit::Tokens, now);
        sendReports(limit_unit::Requests, now);
    });
}

void limits_driver::setNodes(const std::vector<node_id>& usable, instant now)
{
    m_nodes = usable;
    m_tokenOwner.setNodes(usable, now);
    m_requestOwner.setNodes(usable, now);
    m_limits.setNodeCount(static_cast<std::uint32_t>(usable.size()), now);
}

void limits_driver::applyState(const std::shared_ptr<const fleet_state>& state, instant now)
{
    m_limits.applyState(state, now);
    for (const auto& team : m_teams) {
        if (state->team(team))
            continue;
        m_tokenOwner.removeLimit(team);
        m_requestOwner.removeLimit(team);
    }
    m_teams.clear();
    for (const auto& [team, settings] : state->teams()) {
        m_teams.push_back(team);
        m_tokenOwner.setLimit(team, { settings->tokensPerSecond }, now);
        m_requestOwner.setLimit(team, { settings->requestsPerSecond }, now);
    }
}

void limits_driver::sendReports(limit_unit unit, instant now)
{
    for (const auto& report : m_limits.dueReports(unit, now)) {
        const auto ownerNode = grantOwnerOf(report.team, m_nodes);
        if (ownerNode == m_peers.self()) {
            if (const auto grant = owner(unit).answer(ownerNode, report, now))
                m_limits.applyGrant(unit, *grant, now);
            continue;
        }
        wire::envelope message;
        encode(report, *message.mutable_demand_report());
        message.mutable_demand_report()->set_requests(unit == limit_unit::Requests);
        m_peers.send(ownerNode, std::move(message));
    }
}

} // namespace oriolepick
