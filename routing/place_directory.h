/// \file
/// Splits the targets of services into shards and names the allocator of each.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/seeded_random.h"
#include "routing/place_messages.h"
#include "routing/routing_names.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriolepick {

/// A registered target.
struct place_target {
    target_name name;
    availability_zone zone;
    std::uint32_t slots = 1; ///< number of concurrent requests
    /// The target gets new requests: it doesn't drain and this node doesn't back off from it. Targets that are not
    /// available count in the split into shards, so that nodes with different faults find the same shards.
    bool available = true;
};

/// A service whose places are allocated.
struct place_service {
    service_name name;
    bool engines = false; ///< the targets are model engines
    std::uint64_t memoryTokens = 0; ///< engines only: memory of one engine in tokens, 0 if unknown
    std::vector<place_target> targets; ///< all registered ones
};

/// A node and its zone.
struct place_node {
    node_id node;
    availability_zone zone;
};

/// Settings of place_directory.
struct place_directory_settings {
    /// A service with at most this many targets is one shard over all zones: a common line serves more requests in time
    /// than one line for each zone, and a message between zones costs a millisecond.
    std::size_t maxShardTargets = 64;
    std::chrono::milliseconds roomValidity { 1'000 }; ///< older rooms say nothing: loads change within a second
};

/// Nodes with equal lists of targets and nodes find the same shards and allocators. Not synchronized.
class place_directory {
public:
    place_directory(place_node self, const place_directory_settings& settings);

    /// Sets the nodes that are believed alive, without this one.
    void setNodes(const std::vector<place_node>& others);

    /// Adds or replaces a service.
    void setService(place_service service);

    void removeService(const service_name& service);

    const place_node& self() const { return m_self; }

    /// \return the number of nodes, including this one
    std::size_t nodeCount() const { return m_zones.size(); }

    /// \return whether \p node is this one or believed alive
    bool isAlive(const node_id& node) const { return m_zones.count(node) > 0; }

    /// \return the zone of \p node; empty if unknown
    availability_zone zoneOf(const node_id& node) const;

    /// \return a number that changes with each change of services or nodes
    std::uint64_t revision() const { return m_revision; }

    /// \return the service, or null
    const place_service* find(const service_name& service) const;

    /// \return the shards of \p service
    std::vector<place_shard> shardsOf(const service_name& service) const;

    /// \return the shard of a target; nothing if the service or the target is unknown
    std::optional<place_shard> shardOf(const service_name& service, const target_name& target) const;

    /// \return the targets in \p shard, which may be in the view of another node
    std::vector<place_target> targetsIn(const place_shard& shard) const;

    /// \return the node that allocates the places of \p shard
    const node_id& allocatorOf(const place_shard& shard) const;

    /// Records the room that an allocator stated.
    void recordRoom(const place_shard& shard, const place_room& room, instant now);

    /// Records that a place of \p shard was requested, which the stated room does not contain yet.
    void recordRequested(const place_shard& shard);

    /// Chooses the shard to ask: that of the own zone if its room is unknown or not used up, else the one with the most
    /// stated room, else the one with the shortest stated wait; between equal ones a random one weighted by its number
    /// of targets.
    /// \param excluded shards that refused the request or can't be asked
    /// \return nothing if no shard remains
    std::optional<place_shard> chooseShard(const service_name& service, const std::vector<place_shard>& excluded,
        seeded_random& random, instant now) const;

private:
    struct room_record {
        place_room room;
        std::uint32_t requested = 0; // by this node since
        instant at;
    };
    struct shard_entry {
        place_shard shard;
        std::vector<place_target> targets;
    };
    struct service_entry {
        place_service service;
        std::vector<shard_entry> shards;
        std::map<target_name, std::size_t> shardOfTarget;
    };

    void keepShortestWaits(std::vector<const shard_entry*>& shards, instant now) const;
    std::optional<std::uint32_t> freeIn(const place_shard& shard, instant now) const;

    place_node m_self;
    place_directory_settings m_settings;
    std::map<node_id, availability_zone> m_zones;
    std::vector<node_id> m_nodes;
    std::map<availability_zone, std::vector<node_id>> m_nodesIn;
    std::map<service_name, service_entry> m_services;
    std::map<place_shard, room_record> m_rooms;
    mutable std::map<place_shard, node_id> m_allocators; // computed on demand
    std::uint64_t m_revision = 1;
};

} // namespace oriolepick
