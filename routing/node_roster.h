/// \file
/// The nodes of this system as they register themselves: how many there are, and who reads the store for a zone.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace oriolepick {

/// A node's own registration.
struct node_entry {
    node_id node;
    availability_zone zone;
    std::string peerAddress; ///< "IP:PORT" for other nodes
    std::uint64_t beat = 0; ///< grows with each renewal
};

/// Times of node_roster.
struct roster_settings {
    /// A node that did not renew for this long is gone; two and a half renewals.
    std::chrono::milliseconds lifetime { 38'000 };
    /// A node that did not answer is not asked for this long.
    std::chrono::milliseconds avoidance { 8'000 };
    /// From this many nodes on, one node reads the store for all zones. Below, the news of a reader in each zone are
    /// fresher and its few calls cost little.
    std::size_t largeDeployment = 24;
};

/// Not synchronized: one per event loop.
class node_roster {
public:
    /// \param self this node, which is always part of the roster
    node_roster(roster_settings settings, node_entry self);

    /// A registration was read.
    void put(const node_entry& entry, instant now);

    /// A registration is gone.
    void remove(const node_id& node);

    /// \p node did not answer.
    void avoid(const node_id& node, instant now);

    /// \return the node to ask: the first by name of this zone that answers; for that one, in a large deployment, the
    /// first of all zones; nothing for the node that reads the store itself
    std::optional<node_entry> reader(instant now) const;

    /// \return nodes of all zones, at least 1
    std::size_t liveNodes(instant now) const;

    const node_entry& self() const { return m_self; }

private:
    struct state {
        node_entry entry;
        instant renewedAt;
        instant avoidedUntil;
    };

    roster_settings m_settings;
    node_entry m_self;
    std::map<node_id, state> m_nodes;
};

} // namespace oriolepick
