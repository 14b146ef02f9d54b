/// \file
/// What all nodes use at the targets of one shard.
#pragma once

#include "core/instant.h"
#include "core/seeded_random.h"
#include "routing/engine_selection.h"
#include "routing/place_directory.h"
#include "routing/place_messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace oriolepick {

/// Settings of place_targets.
struct place_targets_settings {
    /// A grant that no report confirms expires. Nodes confirm grants of engines after 0.9 s at the latest.
    std::chrono::milliseconds grantTimeout { 2'000 };
    /// Uses of a node without reports expire. Nodes report on engines every 5 s if nothing changes; the uses of a node
    /// that is no longer believed alive end at once.
    std::chrono::milliseconds nodeTimeout { 12'000 };
    /// Both for plain targets: a node with uses reports every 60 ms. The last report of a node that has no further
    /// requests may be lost, and a fleet of 295 nodes would miss several of 18 places for a second each.
    std::chrono::milliseconds plainTimeout { 150 };
    std::chrono::milliseconds refusalHold { 300 }; ///< for which a target that refused a request has less room
    std::chrono::milliseconds faultHold { 700 }; ///< for which a target with a fault gets nothing, as in target_tracker
    /// From the end of a request until the next one reaches the target: two messages and the delays of two nodes with
    /// a tenth of a core. Plain targets get as many requests ahead as they complete in it.
    std::chrono::milliseconds turnaround { 15 };
    std::uint32_t objectiveDivisor = 4; ///< the requests ahead wait at most this part of the objective
    /// Part of the places of a target that is reserved for the highest rank, at least one place.
    std::uint32_t reserveDivisor = 16;
    std::chrono::milliseconds rankMemory { 5'000 }; ///< for which a rank without requests keeps its reserve
    /// Engines read prompts one after another. Prompts that wait at an engine can't be overtaken, so at most this many
    /// may be ahead. With none, an engine is idle between two prompts, and copies take the memory that becomes free.
    std::uint32_t maxPromptsAhead = 1;
    double durationWeight = 0.1; ///< weight of a completed request in the mean duration of its target
    std::chrono::milliseconds initialDuration { 30 }; ///< mean duration before the first completed request
    std::chrono::milliseconds durationMemory {
        1'000
    }; ///< in which the duration of an unused target returns to the mean
};

/// Derives the load of each target from the reports of the nodes and from grants that no report contains yet.
class place_targets {
public:
    explicit place_targets(const place_targets_settings& settings);

    void setTargets(const place_service& service, const std::vector<place_target>& targets, instant now);

    /// Applies the report of a node unless a later one is known.
    /// \return whether places may have become free
    bool apply(const node_id& node, const place_report& report, instant now);

    /// Forgets the uses and grants of nodes that are not alive.
    void removeDeadNodes(const place_directory& directory);

    /// Removes a grant that is not used.
    void removeGrant(const node_id& node, std::uint64_t number);

    /// Records a grant, which counts until a report contains it.
    void recordGrant(
        const node_id& node, std::uint64_t number, const target_name& target, std::uint64_t promptTokens, instant now);

    /// Chooses the target where \p request starts first.
    /// \param zone of the requesting node; preferred between equal targets
    /// \return nothing if no target has room
    std::optional<target_name> choose(
        const place_request& request, const availability_zone& zone, seeded_random& random, instant now);

    /// \return whether the node has reported that the request is decided
    bool isDecided(const node_id& node, std::uint64_t number) const;

    /// Removes expired grants and uses.
    /// \return whether there were any
    bool expire(instant now);

    /// \return places that could be granted to requests of all ranks, assuming the requests of the last decision
    std::uint32_t freePlaces(instant now) const;

    /// \return the mean time between two grants when all places are in use
    std::chrono::duration<double> grantInterval(instant now) const;

    /// \return a duration that most requests like \p request don't exceed, from the start at a target to the response
    /// or first event
    std::chrono::milliseconds expectedDuration(const place_request& request, instant now) const;

    /// \return the number of targets
    std::size_t size() const { return m_targets.size(); }

    /// \return whether nothing is in flight at any target
    bool isIdle() const;

    /// \return the requests in flight at \p target
    std::uint32_t inFlight(const target_name& target) const;

private:
    struct load {
        std::uint32_t inFlight = 0;
        std::uint64_t unreadTokens = 0;
        std::uint64_t heldTokens = 0;
    };
    struct target_state {
        place_target target;
        load sum; // reports and grants
        double meanMs = 0; // duration of a request
        instant measuredAt;
        instant refusedUntil;
        instant faultUntil;
        polled_engine engine; // the load in the form that the admission rules use
    };
    struct grant_record {
        target_hash target = 0;
        std::uint64_t promptTokens = 0;
        instant at;
    };
    struct node_record {
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;
        std::uint64_t newest = 0;
        std::vector<std::uint64_t> open;
        std::map<target_hash, target_use> uses;
        std::map<std::uint64_t, grant_record> grants;
        instant seenAt;
    };

    void add(target_hash target, const load& amount);
    void subtract(target_hash target, const load& amount);
    void measure(target_state& target, const target_use* before, const target_use& after, instant now);
    void applyTrouble(target_state& target, const target_use& use, instant now);
    void dropUses(node_record& node);
    double meanOf(const target_state& target, instant now) const;
    bool isInService(const target_state& target, instant now) const;
    bool allAtFault(instant now) const;
    std::uint32_t limitOf(const target_state& target, std::chrono::milliseconds objective, instant now) const;
    bool hasRoom(const target_state& target, const place_request& request, instant now) const;
    double scoreOf(const target_state& target, const place_request& request, instant now) const;
    void updateEngine(target_state& target) const;

    place_targets_settings m_settings;
    bool m_engines = false;
    std::uint64_t m_memoryTokens = 0;
    std::map<target_hash, target_state> m_targets;
    std::map<node_id, node_record> m_nodes;
    double m_meanMs = 0; // over all targets
    place_request m_lastDemand; // the size of requests, for freePlaces()
    std::optional<std::uint32_t> m_highestRank; // of the last requests
    instant m_highestRankAt;
};

} // namespace oriolepick
