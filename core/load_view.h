/// \file
/// What one node knows about the targets: profile, state, lagging load reports corrected by the node's own
/// dispatches, and a sketch of each engine's prefix cache.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/prefix_sketch.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace oriolepick {

/// What a request needs from a target: a model with version and adapter, or a plain service.
using work_ref = std::variant<model_ref, service_id>;

/// The state of a target as this node sees it.
enum class target_state {
    Live,
    Suspected, ///< Chosen only when no live target is left.
    Ejected, ///< Receives only probes from outlier_ejector.
    Leaving, ///< Receives nothing new.
};

/// Who announced that a target is leaving. Each source is withdrawn separately.
enum class leaving_source : std::uint8_t { Ticket = 1, InstanceList = 2, Target = 4 };

/// Fixed properties of a target, from tickets and its reported state.
struct target_profile {
    target_id target;
    availability_zone zone;
    region_name region;
    std::optional<model_ref> model; ///< model and version in memory (adapter unused); nothing for a plain service
    std::vector<adapter_name> adapters; ///< loaded adapters
    bool loadsAdapters = false; ///< whether a missing adapter is loaded on first use
    service_id service; ///< plain service, empty for an engine
    std::uint32_t batchLimit = 16; ///< requests that run at once
    std::uint32_t cacheBlocks = 4096; ///< blocks in the prefix cache
};

/// A target's load at one time.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t batch = 0; ///< batch limit, 0 when not reported
    std::uint64_t kvFree = 0; ///< free cache memory in tokens
};

/// A target as a placement strategy sees it.
struct target_candidate {
    target_id target;
    availability_zone zone;
    target_state state = target_state::Live;
    bool sameZone = true;
    bool sameRegion = true;
    bool adapterLoaded = true;
    double running = 0; ///< estimate, includes own dispatches since the report
    double waiting = 0; ///< estimate, requests beyond the batch limit
    std::uint32_t batchLimit = 1;
    std::uint32_t ownInFlight = 0; ///< this node's unfinished requests on the target
    double pendingPrefillTokens = 0; ///< own uncached prompt tokens dispatched and not started
    std::chrono::milliseconds reportAge { 0 };
    std::uint32_t cachedTokens = 0; ///< leading prompt tokens believed to be cached
};

/// Settings of load_view.
struct load_view_settings {
    std::size_t subsetSize = 32; ///< targets per node and model
    std::uint32_t blockTokens = 64; ///< prompt tokens per hashed block
    /// Age at which a report of less load than the mean of the targets counts half and the mean counts the other half.
    /// The other nodes saw the idle target too and have used it since; without this, news 5 s old caused herds that
    /// raised the first token's p95 from 0.1 s to above 1 s.
    std::chrono::milliseconds reportHalfWeightAge { 500 };
    std::chrono::milliseconds pollAfter { 10'000 }; ///< a target silent for so long is polled
};

/// Knowledge of the targets. Not thread-safe; the owner serialises access.
class load_view {
public:
    load_view(node_id self, availability_zone zone, region_name region, load_view_settings settings = {});

    /// Adds a target or replaces its profile; load, state and sketch are kept.
    void setTarget(const target_profile& profile);
    void removeTarget(const target_id& target);

    /// Takes effect at once, whichever source speaks first.
    void markLeaving(const target_id& target, leaving_source source);
    void clearLeaving(const target_id& target, leaving_source source);
    void setSuspected(const target_id& target, bool suspected);
    void setEjected(const target_id& target, bool ejected);

    /// \param reflectsUntil send time of the request or poll whose response carried the report; own dispatches after
    ///        it are added to the estimate. An older report than the current one is ignored.
    void recordReport(const target_id& target, const load_report& report, instant reflectsUntil);

    /// Records an own dispatch.
    /// \param uncachedTokens prompt tokens that the target was expected to compute
    void recordDispatch(const target_id& target, const std::vector<block_hash>& prefixBlocks,
        std::uint32_t uncachedTokens, instant now);

    /// Records the first token of an own dispatch: its prefill is done.
    void recordFirstToken(const target_id& target, std::uint32_t uncachedTokens);

    /// Records the end of an own dispatch, by any outcome.
    /// \param started whether recordFirstToken was called for it
    void recordFinished(const target_id& target, std::uint32_t uncachedTokens, bool started, instant now);

    /// Applies a cache event of an engine.
    void recordCacheEvent(const target_id& target, std::uint64_t sequence, const std::vector<block_hash>& added,
        const std::vector<block_hash>& evicted);

    /// Forgets load and cache of an engine that restarted.
    void recordRestart(const target_id& target);

    /// \return the targets of this node's subset for \p work with their estimated load; all of the work's targets when
    ///         no target of the subset can take requests. Leaving targets are included with their state.
    std::vector<target_candidate> candidates(
        const work_ref& work, const std::vector<block_hash>& prefixBlocks, instant now) const;

    /// \return this node's subset for \p work, without leaving targets
    std::vector<target_id> subset(const work_ref& work) const;

    /// \return the targets of this node's subsets that have been silent for longer than the poll period
    std::vector<target_id> targetsToPoll(instant now) const;

    /// \return the state, or Leaving for an unknown target
    target_state state(const target_id& target) const;

    /// \return the profile, or null for an unknown target
    const target_profile* profile(const target_id& target) const;

    std::size_t size() const { return m_targets.size(); }

    /// \return estimated bytes of heap memory in use
    std::size_t memoryBytes() const;

private:
    struct in_flight_change {
        instant at;
        int delta = 0;
    };
    struct entry {
        target_profile profile;
        std::uint8_t leaving = 0;
        bool suspected = false;
        bool ejected = false;
        load_report report;
        std::optional<instant> reflectsUntil;
        std::deque<in_flight_change>
            unreportedChanges; // own dispatches (+1) and ends (-1) that the report does not include
        std::uint32_t ownInFlight = 0;
        double pendingPrefillTokens = 0;
        prefix_sketch sketch { 1 };
    };
    // Group of targets that can serve the same work, adapters aside.
    using group_key = std::variant<std::pair<model_id, model_version>, service_id>;
    struct group {
        std::vector<target_id> members;
        mutable std::vector<target_id> subset;
        mutable bool stale = true;
    };

    static group_key keyOf(const work_ref& work);
    static std::optional<group_key> keyOf(const target_profile& profile);
    static target_state stateOf(const entry& entry);
    entry* find(const target_id& target);
    const entry* find(const target_id& target) const;
    void removeFromGroup(const target_profile& profile);
    void invalidateGroup(const target_profile& profile);
    const std::vector<target_id>& subsetOf(const group& group) const;
    void estimateLoad(std::vector<target_candidate>& candidates, instant now) const;
    target_candidate candidateFor(
        const entry& entry, const work_ref& work, const std::vector<block_hash>& prefixBlocks, instant now) const;

    node_id m_self;
    availability_zone m_zone;
    region_name m_region;
    load_view_settings m_settings;
    absl::flat_hash_map<target_id, entry> m_targets;
    std::map<group_key, group> m_groups;
};

} // namespace oriolepick
