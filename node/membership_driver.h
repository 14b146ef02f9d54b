/// \file
/// Runs core's failure detector between nodes on the control loop.
#pragma once

#include "core/membership.h"

#include <functional>
#include <string>
#include <vector>

namespace oriolepick {

class control_loop;
class node_metrics;
class peer_hub;

class membership_driver {
public:
    using listener = std::function<void(const std::vector<node_id>& usable, instant now)>;

    membership_driver(const availability_zone& zone, const region_name& region, std::vector<node_id> seeds,
        std::uint64_t seed, peer_hub& peers, control_loop& loop, node_metrics& metrics);

    /// Adds a function that learns of each change of the usable nodes; called before the loop starts.
    void addListener(listener onChange) { m_listeners.push_back(std::move(onChange)); }

    /// Announces the planned stop; on the control loop.
    void leave(instant now);

    /// \return the nodes that are alive or suspected, including this one; on the control loop
    std::vector<node_id> usableNodes() const { return m_membership.usableNodes(); }

    /// \return the number of nodes that may be serving requests: all that have not announced that they leave; on the
    ///     control loop
    std::size_t possiblyActiveNodes() const { return m_membership.possiblyActiveNodes(); }

    /// \return all known nodes with their states; on the control loop
    const std::map<node_id, member>& members() const { return m_membership.members(); }

private:
    void tick(instant now);
    void execute(const std::vector<membership_action>& actions, instant now);
    void publishCounts();

    peer_hub& m_peers;
    node_metrics& m_metrics;
    std::vector<node_id> m_seeds;
    membership m_membership;
    std::vector<listener> m_listeners;
    std::vector<node_id> m_usable;
    bool m_joined = false;
};

} // namespace oriolepick
