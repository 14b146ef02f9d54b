/// \file
/// Which other gateways there are, by core's failure detector over datagrams.
#pragma once

#include "core/membership.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <vector>

namespace oriolepick {

class decision_log;
class gateway_metrics;

/// Runs the failure detector of one node.
class fleet_membership {
public:
    /// What the members are told by, and who is told of their changes.
    struct callbacks {
        std::function<void(const node_id& to, const membership_message& message)> send;
        std::function<void()> onChanged; ///< a node came, left, died or returned
    };

    /// \param self this node, whose identifier is its peer address
    fleet_membership(const member_update& self, callbacks callbacks, std::uint64_t seed, timer_queue& timers,
        decision_log& log, gateway_metrics& metrics);

    /// Starts probing, and contacts \p addresses to join.
    void start(const std::vector<node_id>& addresses);

    /// Contacts further addresses.
    void join(const std::vector<node_id>& addresses);

    void receive(const membership_message& message);

    /// Announces the planned stop of this node.
    void leave();

    /// \return the nodes that are believed alive, without this one, in its zone
    std::vector<node_id> sameZone() const { return aliveNodes(true); }

    /// \return the nodes that are believed alive in other zones
    std::vector<node_id> otherZones() const { return aliveNodes(false); }

    /// \return nodes that may be at work: alive, or out of reach and not known to have left; this one included
    std::size_t possiblyActiveNodes() const;

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
