/// \file
/// The updates that a node still has to spread, least often sent first.
#pragma once

#include "core/membership_messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace oriolepick {

/// Holds at most one update per node; a newer one replaces it. Each update is sent a bounded number of times.
class gossip_queue {
public:
    /// Adds an update or replaces the one about the same node.
    void add(const member_update& update);

    /// Removes the update about \p node.
    void remove(const node_id& node);

    /// Takes up to \p count updates for one message and counts them as sent.
    /// \param maxSends an update is dropped after so many messages
    std::vector<member_update> take(std::size_t count, std::uint32_t maxSends);

    std::size_t size() const { return m_updates.size(); }

private:
    struct pending {
        member_update update;
        std::uint32_t sends = 0;
        std::uint64_t order = 0;
    };
    using position = std::tuple<std::uint32_t, std::uint64_t, node_id>; // sends, negated age, node

    std::map<node_id, pending> m_updates;
    std::set<position> m_order;
    std::uint64_t m_nextOrder = ~std::uint64_t { 0 }; // counts down: the newest of equally often sent goes first
};

} // namespace oriolepick
