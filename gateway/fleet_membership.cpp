#include "gateway/fleet_membership.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <array>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds TickPeriod { 100 }; ///< the tick period that membership requires
    /// Nodes start within 0.3 s of each other, so the first attempt to join may reach no node.
    constexpr std::chrono::milliseconds JoinRetryInterval { 200 };
    constexpr std::array<const char*, 5> StateNames { "alive", "suspect", "leaving", "left", "dead" };

    // Large pages let nodes that start together join in few messages: with 300 nodes, pages of 8 members take 37 round
    // trips.
    membership_settings gatewayMembershipSettings()
    {
        membership_settings settings;
        settings.membersPerPage = MaxMembersPerPage;
        settings.joinRetryInterval = JoinRetryInterval;
        return settings;
    }

    bool isBelievedAlive(const member& known)
    {
        return known.update.state == member_state::Alive || known.update.state == member_state::Suspect;
    }

} // namespace

fleet_membership::fleet_membership(const member_update& self, callbacks callbacks, std::uint64_t seed,
    timer_queue& timers, decision_log& log, gateway_metrics& metrics)
    : m_self(self)
    , m_callbacks(std::move(callbacks))
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_membership(self, gatewayMembershipSettings(), seeded_random(seed), timers.now())
{
}

void fleet_membership::start(const std::vector<node_id>& addresses)
{
    join(addresses);
    tick();
}

void fleet_membership::join(const std::vector<node_id>& addresses)
{
    perform(m_membership.join(addresses, m_timers.now()));
}

void fleet_membership::receive(const membership_message& message)
{
    perform(m_membership.receive(message, m_timers.now()));
}

void fleet_membership::leave()
{
    perform(m_membership.leave(m_timers.now()));
}

void fleet_membership::tick()
{
    perform(m_membership.tick(m_timers.now()));
    m_timers.at(m_timers.now() + TickPeriod, [this] { tick(); });
}

void fleet_membership::perform(const std::vector<membership_action>& actions)
{
    bool changed = false;
    for (const auto& action : actions) {
        if (const auto* outgoing = std::get_if<send_membership_message>(&action)) {
            m_callbacks.send(outgoing->to, outgoing->message);
        } else if (const auto* change = std::get_if<member_changed>(&action)) {
            changed = true;
            m_metrics.count("node_changes");
            // Joins are not logged: each of 300 nodes would log each of the 300 others.
            if (change->state != member_state::Alive)
                m_log.write("node_changed",
                    { { "other", change->node.value() },
                        { "state", StateNames.at(static_cast<std::size_t>(change->state)) } });
        } else if (const auto* zone = std::get_if<zone_changed>(&action)) {
            m_log.write("zone_changed",
                { { "zone", zone->zone.value() }, { "reachable", zone->reachable ? "true" : "false" } });
        }
    }
    if (changed)
        m_callbacks.onChanged();
}

std::vector<node_id> fleet_membership::aliveNodes(bool inOwnZone) const
{
    std::vector<node_id> nodes;
    for (const auto& [node, known] : m_membership.members()) {
        const bool matchesZone = (known.update.zone == m_self.zone) == inOwnZone && node != m_self.node;
        if (matchesZone && isBelievedAlive(known))
            nodes.push_back(node);
    }
    return nodes;
}

std::vector<limit_node> fleet_membership::otherNodes() const
{
    std::vector<limit_node> nodes;
    for (const auto& [node, known] : m_membership.members()) {
        if (node != m_self.node && isBelievedAlive(known))
            nodes.push_back({ node, known.update.zone });
    }
    return nodes;
}

} // namespace oriolepick
