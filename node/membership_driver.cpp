#include "node/membership_driver.h"

#include "node/control_loop.h"
#include "node/control_view.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/peer_hub.h"
#include "wire/membership_codec.h"
#include "wire/messages.pb.h"

#include <array>

namespace oriolepick {

namespace {

    constexpr std::size_t StateCount = static_cast<std::size_t>(member_state::Dead) + 1;

    member_update selfUpdate(const peer_hub& peers, const availability_zone& zone, const region_name& region)
    {
        return { peers.self(), zone, region, member_state::Alive, peers.incarnation() };
    }

} // namespace

membership_driver::membership_driver(const availability_zone& zone, const region_name& region,
    std::vector<node_id> seeds, std::uint64_t seed, peer_hub& peers, control_loop& loop, node_metrics& metrics)
    : m_peers(peers)
    , m_metrics(metrics)
    , m_seeds(std::move(seeds))
    , m_membership(selfUpdate(peers, zone, region), {}, seeded_random(seed), std::chrono::steady_clock::now())
{
    peers.handle(wire::envelope::kMembership, [this](const node_id&, const wire::envelope& message, instant now) {
        const auto decoded = decode(message.membership());
        if (decoded)
            execute(m_membership.receive(*decoded, now), now);
        return decoded.has_value();
    });
    loop.every(membership::MaxTickInterval, [this](instant now) { tick(now); });
}

void membership_driver::tick(instant now)
{
    if (!m_joined) {
        m_joined = true;
        execute(m_membership.join(m_seeds, now), now);
        m_usable = m_membership.usableNodes();
        for (const auto& onChange : m_listeners)
            onChange(m_usable, now);
    }
    execute(m_membership.tick(now), now);
}

void membership_driver::leave(instant now)
{
    execute(m_membership.leave(now), now);
}

void membership_driver::execute(const std::vector<membership_action>& actions, instant now)
{
    for (const auto& action : actions) {
        if (const auto* outgoing = std::get_if<send_membership_message>(&action)) {
            wire::envelope message;
            encode(outgoing->message, *message.mutable_membership());
            m_peers.send(outgoing->to, std::move(message));
        } else if (const auto* changed = std::get_if<member_changed>(&action)) {
            const std::string to = memberStateName(changed->state);
            m_metrics.add(counter_metric::StateChanges, { { "part", "peer" }, { "to", to } });
            logInfo("peer", { { "peer", changed->node.value() }, { "to", to } });
        } else if (const auto* zone = std::get_if<zone_changed>(&action)) {
            logWarning("availability zone",
                { { "zone", zone->zone.value() }, { "to", zone->reachable ? "reachable" : "unreachable" } });
        } else if (const auto* region = std::get_if<region_changed>(&action)) {
            logWarning("region",
                { { "region", region->region.value() }, { "to", region->reachable ? "reachable" : "unreachable" } });
        }
    }
    auto usable = m_membership.usableNodes();
    if (usable == m_usable || !m_joined)
        return;
    m_usable = std::move(usable);
    publishCounts();
    for (const auto& onChange : m_listeners)
        onChange(m_usable, now);
}

void membership_driver::publishCounts()
{
    std::array<int, StateCount> counts {};
    for (const auto& [node, known] : m_membership.members())
        ++counts.at(static_cast<std::size_t>(known.update.state));
    for (std::size_t index = 0; index < counts.size(); ++index)
        m_metrics.set(gauge_metric::KnownPeers, { { "status", memberStateName(static_cast<member_state>(index)) } },
            counts.at(index));
}

} // namespace oriolepick
