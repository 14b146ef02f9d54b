#include "gateway/fleet_membership.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <array>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds TickPeriod { 100 }; ///< what membership asks for
    /// Nodes start within 0.3 s of each other, so the first contact may find nobody.
    constexpr std::chrono::milliseconds JoinRetryInterval { 200 };
    constexpr std::array<const char*, 5> StateNames { "alive", "suspect", "leaving", "left", "dead" };

    // Nodes that start together join in few messages: at 300 nodes a page each of 8 takes 37 round trips.
    membership_settings gatewayMembershipSettings()
    {
        membership_settings settings;
        settings.membersPerPage = MaxMembersPerPage;
        settings.joinRetryInterval = JoinRetryInterval;
        return settings;
    }

    bool mayBeActive(const member& known)
    {
        return known.update.state != member_state::Left && known.update.state != member_state::Leaving;
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
            // Joins are frequent and tell little: each of 300 nodes would log each of 300 others.
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
        const auto state = known.update.state;
        const bool matchesZone = (known.update.zone == m_self.zone) == inOwnZone && node != m_self.node;
        if (matchesZone && (state == member_state::Alive || state == member_state::Suspect))
            nodes.push_back(node);
    }
    return nodes;
}

std::size_t fleet_membership::possiblyActiveNodes() const
{
    std::size_t count = 0;
    for (const auto& [node, known] : m_membership.members())
        count += mayBeActive(known);
    return count;
}

} // namespace oriolepick
