/// \file
/// Which nodes are alive: a gossip failure detector with indirect probes, suspicion and incarnation numbers.
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

/// Settings of membership.
struct membership_settings {
    std::chrono::milliseconds probeInterval { 1'000 };
    std::chrono::milliseconds ackTimeout { 300 }; ///< before indirect pings; above the slowest round trip of a region
    std::uint32_t indirectProbes = 3;
    std::uint32_t suspicionFactor = 2; ///< times probeInterval and log2 of the node count, at least twice the interval
    std::uint32_t retransmitFactor = 3; ///< times log2 of the node count: how often an update is sent
    std::chrono::milliseconds joinRetryInterval {
        1'000
    }; ///< between contacts of the seeds while no other node is known
    std::chrono::milliseconds syncInterval { 5'000 }; ///< page exchange with a live node, ping of an absent one
    std::size_t membersPerPage = MaxUpdatesPerMessage; ///< in one answer to a joining node, at most MaxMembersPerPage
    std::chrono::milliseconds deadRetention { 7'200'000 }; ///< longer than a region's partition of an hour
    std::chrono::milliseconds leftRetention { 60'000 };
};

/// A known node.
struct member {
    member_update update;
    instant changedAt; ///< of the state
};

/// Failure detector of one node. With n known nodes, a death is known everywhere within n probe intervals, the
/// suspicion time and the spreading time of about log2(n) intervals. Two groups that can reach each other again meet
/// within one sync interval per absent node and seed. tick and receive return the messages to send and the changes.
class membership {
public:
    /// \param self this node; its incarnation must be higher than at its last start (for example wall time)
    /// \param startTime spreads the probes of nodes that start together
    membership(member_update self, membership_settings settings, seeded_random random, instant startTime);

    /// Contacts known addresses to join. Repeat it when the platform's list of instances changes; addresses that are
    /// not members are contacted again from time to time.
    std::vector<membership_action> join(const std::vector<node_id>& seeds, instant now);

    /// Does what is due. Call at least every 100 ms.
    std::vector<membership_action> tick(instant now);

    /// Processes a message. Messages with more updates than maxUpdates() are ignored.
    std::vector<membership_action> receive(const membership_message& message, instant now);

    /// Announces the planned stop of this node.
    std::vector<membership_action> leave(instant now);

    /// \return all known nodes by name, including this one
    const std::map<node_id, member>& members() const { return m_members; }

    /// \return the nodes that are alive or suspected, including this one unless it is leaving
    std::vector<node_id> usableNodes() const;

    /// \return whether every other known node is unreachable, which more likely means that this node is cut off
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
    bool m_mayHaveSuspects = false; // spares the scan of all members in most ticks
    std::uint64_t m_sequence = 0;
    instant m_lastTick;
    instant m_nextProbe;
    instant m_nextSync;
    node_id m_syncCursor;
    node_id m_joinSource; // whose pages are read on; the first that answered
    bool m_joining = false;
};

} // namespace oriolepick
