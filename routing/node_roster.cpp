#include "routing/node_roster.h"

#include <algorithm>

namespace oriolepick {

node_roster::node_roster(roster_settings settings, node_entry self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

void node_roster::put(const node_entry& entry, instant now)
{
    if (entry.node == m_self.node)
        return;
    auto& known = m_nodes[entry.node];
    const bool renewed
        = known.entry.node.empty() || known.entry.beat != entry.beat || known.entry.peerAddress != entry.peerAddress;
    known.entry = entry;
    if (renewed)
        known.renewedAt = now;
}

void node_roster::remove(const node_id& node)
{
    m_nodes.erase(node);
}

void node_roster::avoid(const node_id& node, instant now)
{
    const auto found = m_nodes.find(node);
    if (found != m_nodes.end())
        found->second.avoidedUntil = now + m_settings.avoidance;
}

std::optional<node_entry> node_roster::reader(instant now) const
{
    const state* firstOfAll = nullptr;
    for (const auto& [name, known] : m_nodes) {
        if (!(name < m_self.node))
            break;
        const bool live = now < known.renewedAt + m_settings.lifetime && now >= known.avoidedUntil;
        if (live && known.entry.zone == m_self.zone)
            return known.entry;
        if (live && !firstOfAll)
            firstOfAll = &known;
    }
    if (firstOfAll && liveNodes(now) >= m_settings.largeDeployment)
        return firstOfAll->entry;
    return std::nullopt;
}

std::size_t node_roster::liveNodes(instant now) const
{
    const auto live = std::count_if(m_nodes.begin(), m_nodes.end(),
        [&](const auto& node) { return now < node.second.renewedAt + m_settings.lifetime; });
    return static_cast<std::size_t>(live) + 1;
}

} // namespace oriolepick
