/// \file
/// The node's shared, thread-safe knowledge of targets: addresses from the state in force, load view, pace of streams,
/// and the placement strategy. All choices among targets of this node are made here.
#pragma once

#include "core/load_view.h"
#include "core/placement.h"
#include "core/stall_detector.h"
#include "targets/engine_state.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class fleet_state;

/// A chosen target with what a dispatch needs.
struct placed_target {
    target_id target;
    std::string address;
    model_ref model; ///< what the target reports as loaded; empty for a plain service
    std::uint32_t cachedTokens = 0;
};

/// A target that is polled for its state.
struct polled_target {
    target_id target;
    std::string address;
};

class target_directory final : public target_pace_source {
public:
    target_directory(node_id self, availability_zone zone, region_name region,
        std::unique_ptr<placement_strategy> strategy, std::uint64_t seed);

    /// Takes over targets, membership of deployments and leaving marks of the state in force.
    void applyState(const std::shared_ptr<const fleet_state>& state);

    /// Records what an engine reports about itself.
    void recordEngineState(const target_id& target, const engine_state& state);

    /// \return the last report of an engine, nothing when its last poll failed
    std::optional<engine_state> observed(const target_id& target) const;

    /// Marks a target as unreachable until its next report.
    void recordUnreachable(const target_id& target);

    /// Takes over the platform's list of leaving addresses.
    void setLeavingAddresses(const std::vector<std::string>& addresses);

    void recordLoad(const target_id& target, const load_report& report, instant reflectsUntil);

    /// Chooses a target among \p allowed and counts the dispatch.
    /// \param allowed targets of the deployment or service
    std::variant<placed_target, placement_failure> choose(
        const placement_query& query, const std::vector<target_id>& allowed, std::uint32_t promptTokens, instant now);

    void recordFirstToken(const target_id& target, std::uint32_t uncachedTokens);
    void recordFinished(const target_id& target, std::uint32_t uncachedTokens, bool started, instant now);

    void recordGap(const target_id& target, std::chrono::microseconds gap, instant now);
    std::optional<target_pace> paceOf(const target_id& target) const override;

    /// \return whether the platform's list announced that the target is leaving
    bool isListedAsLeaving(const target_id& target) const;

    /// \return the address, or nothing for an unknown target
    std::optional<std::string> addressOf(const target_id& target) const;

    /// \return the addresses of the known ones among \p targets
    std::vector<std::string> addressesOf(const std::vector<target_id>& targets) const;

    /// \return all targets in the zones of \p targets
    std::vector<target_id> inZonesOf(const std::vector<target_id>& targets) const;

    /// \return whether any of \p allowed reports the model with version and adapter
    bool anyLoaded(const model_ref& model, const std::vector<target_id>& allowed) const;

    std::vector<polled_target> engines() const;

    /// A version in service and its places for requests.
    struct loaded_version {
        model_ref model;
        std::size_t places = 0;
    };
    /// \return what the live targets among \p targets have loaded of the same model and adapter as \p wanted
    std::vector<loaded_version> versionsOf(const model_ref& wanted, const std::vector<target_id>& targets) const;

    /// \return the incarnation that an engine last reported, 0 when unknown
    std::uint64_t incarnationOf(const target_id& target) const;

    /// Usable targets among some and their places for requests.
    struct room {
        std::size_t targets = 0;
        std::size_t places = 0;
    };
    room capacityOf(const std::vector<target_id>& targets) const;

    /// \return number of engines whose last poll succeeded
    std::size_t reportingEngines() const;

    /// \return number of targets by state: "live", "suspected", "ejected", "leaving"
    std::map<std::string, std::size_t> stateCounts() const;

    /// One target as this node sees it.
    struct target_view {
        target_id target;
        std::string state; ///< as in stateCounts()
        std::optional<bool> reporting; ///< whether an engine's last poll succeeded; nothing for a plain service
    };
    /// \return all targets in the order of their names
    std::vector<target_view> targetStates() const;

private:
    struct target_record {
        std::string address;
        target_profile profile;
        bool engine = true;
        std::optional<engine_state> observed;
        std::uint64_t incarnation = 0;
        bool leavingByList = false;
        std::vector<model_ref> loaded; ///< of the last report, kept while the target cannot be reached
    };

    bool hasLoaded(const target_id& target, const model_ref& model) const;

    mutable std::mutex m_mutex;
    std::unique_ptr<placement_strategy> m_strategy;
    seeded_random m_random;
    region_name m_region;
    load_view m_view;
    target_pace_tracker m_paces;
    absl::flat_hash_map<target_id, target_record> m_records;
};

} // namespace oriolepick
