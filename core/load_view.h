/// \file
/// One node's view of the targets: profile, state, delayed load reports corrected by the node's own dispatches, and a
/// sketch of each engine's prefix cache.
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

/// The work that a request needs from a target: inference with a model, its version and an adapter, or a plain service.
using work_ref = std::variant<model_ref, service_id>;

/// The state of a target as this node sees it.
enum class target_state {
    Live,
    Suspected, ///< The target is chosen only if no live target is available.
    Ejected, ///< The target receives only probes from outlier_ejector.
    Leaving, ///< The target receives no new requests.
};

/// Source of the information that a target is leaving. Each source is cleared separately.
enum class leaving_source : std::uint8_t { Ticket = 1, InstanceList = 2, Target = 4 };

/// Fixed properties of a target, from tickets and its reported state.
struct target_profile {
    target_id target;
    availability_zone zone;
    region_name region;
    std::optional<model_ref> model; ///< loaded model and version (adapter unused); empty for a plain service
    std::vector<adapter_name> adapters; ///< loaded adapters
    bool loadsAdapters = false; ///< whether a missing adapter is loaded on first use
    service_id service; ///< name of the plain service, empty for an engine
    std::uint32_t batchLimit = 16; ///< requests that run at once
    std::uint32_t cacheBlocks = 4096; ///< blocks in the prefix cache
};

/// Load of a target at one point in time.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t batch = 0; ///< batch limit, 0 when not reported
    std::uint64_t kvFree = 0; ///< free cache memory in tokens
};

/// A target with its estimated load, as input of a placement strategy.
struct target_candidate {
    target_id target;
    availability_zone zone;
    target_state state = target_state::Live;
    bool sameZone = true;
    bool sameRegion = true;
    bool adapterLoaded = true;
    double running = 0; ///< estimate, including own dispatches since the report
    double waiting = 0; ///< estimate of the requests beyond the batch limit
    std::uint32_t batchLimit = 1;
    std::uint32_t ownInFlight = 0; ///< this node's unfinished requests on the target
    double pendingPrefillTokens = 0; ///< uncached prompt tokens of own requests without a first token
    std::chrono::milliseconds reportAge { 0 };
    std::uint32_t cachedTokens = 0; ///< leading prompt tokens that are probably cached
};

/// Settings of load_view.
struct load_view_settings {
    std::size_t subsetSize = 32; ///< targets per node and model
    std::uint32_t blockTokens = 64; ///< prompt tokens per hashed block
    /// Age at which a report of less load than the mean of the targets has a weight of one half, and the mean has the
    /// other half. The other nodes received the same report and have sent requests to the idle target since. Without
    /// this correction, reports 5 s old made all nodes choose the same targets (herding), which raised the p95 of the
    /// time to first token from 0.1 s to above 1 s.
    std::chrono::milliseconds reportHalfWeightAge { 500 };
    std::chrono::milliseconds pollAfter { 10'000 }; ///< a target without a report for this time is polled
};

/// Holds the view of all targets and chooses this node's subset of them. Not thread-safe; the owner serialises access.
class load_view {
public:
    load_view(node_id self, availability_zone zone, region_name region, load_view_settings settings = {});

    /// Adds a target or replaces its profile. Load and state of a known target are kept, and so is its sketch, unless
    /// the model or the number of cache blocks changes.
    void setTarget(const target_profile& profile);
    void removeTarget(const target_id& target);

    /// Marks a target as leaving from now on. One source is sufficient.
    void markLeaving(const target_id& target, leaving_source source);
    /// Clears one source; the target is leaving until every source is cleared.
    void clearLeaving(const target_id& target, leaving_source source);
    void setSuspected(const target_id& target, bool suspected);
    void setEjected(const target_id& target, bool ejected);

    /// Replaces the load report of a target. A report that is older than the current one is ignored.
    /// \param reflectsUntil send time of the request or poll whose response carried the report; own dispatches after
    ///        this time are added to the estimate
    void recordReport(const target_id& target, const load_report& report, instant reflectsUntil);

    /// Records a request that this node sent to \p target.
    /// \param uncachedTokens prompt tokens that the target was expected to compute
    void recordDispatch(const target_id& target, const std::vector<block_hash>& prefixBlocks,
        std::uint32_t uncachedTokens, instant now);

    /// Records the first token of an own request, whose prefill is then complete.
    void recordFirstToken(const target_id& target, std::uint32_t uncachedTokens);

    /// Records the end of an own request with any outcome.
    /// \param started whether recordFirstToken was called for the request
    void recordFinished(const target_id& target, std::uint32_t uncachedTokens, bool started, instant now);

    /// Applies a cache event that an engine reported.
    /// \param sequence number of the event, see prefix_sketch::acceptSequence
    void recordCacheEvent(const target_id& target, std::uint64_t sequence, const std::vector<block_hash>& added,
        const std::vector<block_hash>& evicted);

    /// Discards the load and the cache sketch of an engine that restarted.
    void recordRestart(const target_id& target);

    /// \return the targets of this node's subset for \p work with their estimated load, or all targets for \p work if
    ///         the subset has no live target. A target may be included with a state other than Live.
    std::vector<target_candidate> candidates(
        const work_ref& work, const std::vector<block_hash>& prefixBlocks, instant now) const;

    /// \return this node's subset for \p work, without leaving targets
    std::vector<target_id> subset(const work_ref& work) const;

    /// \return the targets of this node's subsets whose last report is older than load_view_settings::pollAfter
    std::vector<target_id> targetsToPoll(instant now) const;

    /// \return the state of \p target, or Leaving if the target is unknown
    target_state state(const target_id& target) const;

    /// \return the profile of \p target, or null if the target is unknown
    const target_profile* profile(const target_id& target) const;

    /// \return the number of known targets
    std::size_t size() const { return m_targets.size(); }

    /// \return estimated bytes of heap memory in use
    std::size_t memoryBytes() const;

private:
    // Change of the number of own requests in flight on a target.
    struct in_flight_change {
        instant at;
        int delta = 0; // +1 for a dispatch, -1 for an end
    };
    struct entry {
        target_profile profile;
        std::uint8_t leaving = 0; // bits of leaving_source
        bool suspected = false;
        bool ejected = false;
        load_report report;
        std::optional<instant> reflectsUntil;
        std::deque<in_flight_change> unreportedChanges; // after the report, oldest first
        std::uint32_t ownInFlight = 0;
        double pendingPrefillTokens = 0;
        prefix_sketch sketch { 1 };
    };
    // Identifies the targets that can serve the same work, regardless of adapters.
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
