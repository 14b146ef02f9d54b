/// \file
/// Cluster membership: a gossip failure detector (SWIM) with indirect probes, suspicion and incarnation numbers.
#pragma once

#include "core/gossip_queue.h"
#include "core/instant.h"
#include "core/membership_messages.h"
#include "core/names.h"
#include "core/seeded_random.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace oriolepick {

/// Send a message to a node.
struct send_membership_message {
    node_id to;
    membership_message message;
};

/// The state of a node changed.
struct member_changed {
    node_id node;
    member_state state = member_state::Alive;
};

/// All known nodes of a zone became unreachable, or one became reachable again.
struct zone_changed {
    availability_zone zone;
    bool reachable = false;
};

/// All known nodes of a region became unreachable, or one became reachable again.
struct region_changed {
    region_name region;
    bool reachable = false;
};

using membership_action = std::variant<send_membership_message, member_changed, zone_changed, region_changed>;

/// Timing and gossip settings of the failure detector.
struct membership_settings {
    std::chrono::milliseconds probeInterval { 1'000 };
    std::chrono::milliseconds ackTimeout { 300 }; ///< before indirect pings; above the slowest round trip of a region
    std::uint32_t indirectProbes = 3;
    std::uint32_t suspicionFactor = 2; ///< in half probe intervals, times log2 of the node count; at least 2 intervals
    std::uint32_t retransmitFactor = 3; ///< sends of an update: times (log2 of the node count + 1)
    std::chrono::milliseconds joinRetryInterval { 1'000 }; ///< contacts of the seeds while no other node is known
    std::chrono::milliseconds syncInterval { 5'000 }; ///< page request to a live node, ping of a dead node
    std::size_t membersPerPage = MaxUpdatesPerMessage; ///< of a page that is sent; at most MaxMembersPerPage
    std::chrono::milliseconds deadRetention { 7'200'000 }; ///< longer than the partition of a region for one hour
    std::chrono::milliseconds leftRetention { 60'000 };
};

/// A known node and its state.
struct member {
    member_update update;
    instant changedAt; ///< of the state
};

/// Failure detector of one node. With n known nodes, all nodes detect a death within n probe intervals plus the
/// suspicion time plus the dissemination time of about log2(n) intervals. Two groups that can reach each other again
/// merge within one sync interval per dead node and seed. join, tick, receive and leave return the messages to send and
/// the changes of state.
class membership {
public:
    /// \param self this node; its incarnation must be higher than at its previous start (for example, the wall time)
    /// \param startTime the first probe and sync are delayed from here at random, so that nodes which start together
    ///     do not send them together
    membership(member_update self, membership_settings settings, seeded_random random, instant startTime);

    /// Contacts the seeds to join the fleet. Must be called again when the platform's list of instances changes. Seeds
    /// that are not members are contacted again periodically.
    std::vector<membership_action> join(const std::vector<node_id>& seeds, instant now);

    /// Longest time between two ticks of a process that is not held up.
    static constexpr std::chrono::milliseconds MaxTickInterval { 100 };

    /// Processes all due timers. Must be called every MaxTickInterval; timeouts of other nodes do not run while it is
    /// called later.
    std::vector<membership_action> tick(instant now);

    /// Processes a message. Messages with more updates than maxUpdates() are ignored.
    std::vector<membership_action> receive(const membership_message& message, instant now);

    /// Announces the planned shutdown of this node.
    std::vector<membership_action> leave(instant now);

    /// \return all known nodes by name, including this one
    const std::map<node_id, member>& members() const { return m_members; }

    /// \return the nodes that are alive or suspected, including this one unless it is leaving
    std::vector<node_id> usableNodes() const;

    /// \return the number of nodes that may be serving requests: all that have not announced that they leave, including
    ///     unreachable nodes and this one
    std::size_t possiblyActiveNodes() const;

    /// \return whether every other known node is unreachable, which probably means that this node is partitioned
    bool isolated() const;

    /// \return estimated bytes of heap memory in use
    std::size_t memoryBytes() const;

private:
    struct probe {
        node_id target;
        std::uint64_t sequence = 0;
        instant indirectAt;
        instant failAt;
        bool indirectSent = false;
    };
    struct relayed_probe {
        node_id origin;
        std::uint64_t originSequence = 0;
        instant expiresAt;
    };
    using actions = std::vector<membership_action>;

    void send(actions& out, const node_id& to, membership_body body);
    void sendPage(actions& out, const node_id& to, const sync_request_message& request);
    void checkProbe(actions& out, instant now);
    void startProbe(actions& out, instant now);
    void runAntiEntropy(actions& out);
    void expireSuspicions(actions& out, instant now);
    void removeExpired(instant now);
    void compensatePause(instant::duration pause);
    void compensateDelay(instant::duration delay);
    void postponeSuspicions(instant::duration delay);
    std::optional<node_id> nextProbeTarget();
    std::optional<node_id> nextReconnectTarget();
    void shuffle(std::vector<node_id>& nodes);
    std::vector<node_id> randomNodes(std::size_t count, const std::vector<member_state>& states, const node_id& except);

    void handle(actions& out, const node_id& from, const ping_message& body, instant now);
    void handle(actions& out, const node_id& from, const ack_message& body, instant now);
    void handle(actions& out, const node_id& from, const ping_request_message& body, instant now);
    void handle(actions& out, const node_id& from, const sync_request_message& body, instant now);
    void handle(actions& out, const node_id& from, const sync_page_message& body, instant now);

    void apply(actions& out, const member_update& update, instant now);
    void refuteIfNeeded(const member_update& update);
    void setState(actions& out, const node_id& node, member_state state, instant now);
    void reportDomainChanges(actions& out);
    std::uint32_t logMemberCount() const;
    std::uint32_t maxSends() const;
    instant::duration suspicionTime() const;

    member_update m_self;
    membership_settings m_settings;
    seeded_random m_random;
    std::map<node_id, member> m_members;
    gossip_queue m_updates;
    std::vector<node_id> m_probeOrder;
    std::vector<node_id> m_reconnectOrder;
    std::optional<probe> m_probe;
    std::map<std::uint64_t, relayed_probe> m_relayed;
    std::vector<node_id> m_seeds;
    std::map<availability_zone, bool> m_zoneReachable;
    std::map<region_name, bool> m_regionReachable;
    bool m_domainsStale = false;
    bool m_mayHaveSuspects = false; // avoids the scan of all members in most ticks
    std::uint64_t m_sequence = 0;
    instant m_lastTick;
    instant m_nextProbe;
    instant m_nextSync;
    node_id m_syncCursor;
    node_id m_joinSource; // the first node that answered; only its pages are requested
    bool m_joining = false;
};

} // namespace oriolepick
