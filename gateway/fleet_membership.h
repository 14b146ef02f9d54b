/// \file
/// Tracks the other gateways by core's membership protocol over datagrams.
#pragma once

#include "core/membership.h"
#include "core/target_limiter.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <vector>

namespace oriolepick {

class decision_log;
class gateway_metrics;

/// Drives membership, which detects failed nodes, for one node.
class fleet_membership {
public:
    /// How messages are sent, and who is notified of changes.
    struct callbacks {
        std::function<void(const node_id& to, const membership_message& message)> send;
        std::function<void()> onChanged; ///< a node came, left, died or returned
    };

    /// \param self this node, whose identifier is its peer address
    fleet_membership(const member_update& self, callbacks callbacks, std::uint64_t seed, timer_queue& timers,
        decision_log& log, gateway_metrics& metrics);

    /// Starts probing and contacts \p addresses to join.
    void start(const std::vector<node_id>& addresses);

    /// Contacts further addresses.
    void join(const std::vector<node_id>& addresses);

    void receive(const membership_message& message);

    /// Announces the planned stop of this node.
    void leave();

    /// \return the nodes of this zone that are believed alive, without this node
    std::vector<node_id> sameZone() const { return aliveNodes(true); }

    /// \return the nodes that are believed alive in other zones
    std::vector<node_id> otherZones() const { return aliveNodes(false); }

    /// \return the other nodes that are believed alive, with their zones
    std::vector<limit_node> otherNodes() const;

    /// \return the number of nodes that may serve requests: all that have not announced that they leave, unreachable
    /// nodes and this node included
    std::size_t possiblyActiveNodes() const { return m_membership.possiblyActiveNodes(); }

private:
    void tick();
    void perform(const std::vector<membership_action>& actions);
    std::vector<node_id> aliveNodes(bool inOwnZone) const;

    member_update m_self;
    callbacks m_callbacks;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    membership m_membership;
};

} // namespace oriolepick
