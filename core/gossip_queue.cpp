#include "core/gossip_queue.h"

#include <algorithm>

namespace oriolepick {

void gossip_queue::add(const member_update& update)
{
    remove(update.node);
    const auto order = m_nextOrder--;
    m_updates[update.node] = { update, 0, order };
    m_order.emplace(0, order, update.node);
}

void gossip_queue::remove(const node_id& node)
{
    const auto found = m_updates.find(node);
    if (found == m_updates.end())
        return;
    m_order.erase({ found->second.sends, found->second.order, node });
    m_updates.erase(found);
}

std::vector<member_update> gossip_queue::take(std::size_t count, std::uint32_t maxSends)
{
    std::vector<position> chosen(
        m_order.begin(), std::next(m_order.begin(), static_cast<std::ptrdiff_t>(std::min(count, m_order.size()))));
    std::vector<member_update> updates;
    updates.reserve(chosen.size());
    for (const auto& [sends, order, node] : chosen) {
        auto& pending = m_updates.at(node);
        updates.push_back(pending.update);
        m_order.erase({ sends, order, node });
        if (++pending.sends >= maxSends)
            m_updates.erase(node);
        else
            m_order.emplace(pending.sends, order, node);
    }
    return updates;
}

} // namespace oriolepick
