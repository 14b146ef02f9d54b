/// \file
/// Placement of requests on targets. Every choice among targets, for generations and for plain services, is made by a
/// placement_strategy.
#pragma once

#include "core/error_kind.h"
#include "core/load_view.h"
#include "core/names.h"
#include "core/request_priority.h"
#include "core/seeded_random.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>
#include <variant>
#include <vector>

namespace oriolepick {

/// The properties of a request that decide its placement.
struct placement_query {
    work_ref work;
    std::vector<block_hash> prefixBlocks; ///< chained hashes of the prompt's full blocks
    std::uint32_t prefixTokens = 0; ///< prompt tokens, including delivered tokens of a resumed generation
    request_priority priority = request_priority::Normal;
    std::vector<target_id> excluded; ///< targets that must not be chosen
    double latencyWeight = 0.5; ///< the fleet's weight from 0 (least extra compute) to 1 (least latency)
};

/// The target that a placement_strategy chose.
struct target_choice {
    target_id target;
    std::uint32_t cachedTokens = 0; ///< prompt tokens expected to be in the cache of the target
};

/// The result when no target can be chosen.
struct placement_failure {
    error_kind kind = error_kind::NoTarget; ///< NoTarget, or Overloaded when all targets are full
    std::chrono::milliseconds retryAfter { 0 };
};

using placement_decision = std::variant<target_choice, placement_failure>;

/// Settings that all strategies share.
struct placement_limits {
    double maxWaitingShare = 1.0; ///< a target with more waiting requests than this share of its batch limit is full
    /// Retry-after time if no target is usable. A target must change its state before a retry can succeed.
    std::chrono::milliseconds noTargetRetryAfter { 1'000 };
    /// Retry-after time if all targets are full. In this time, about one request per target completes.
    std::chrono::milliseconds targetsFullRetryAfter { 500 };
};

/// Base class of all strategies. It removes leaving, ejected, excluded and full targets before a derived class chooses
/// among the remaining candidates, so that no strategy can choose an unusable target.
class placement_strategy {
public:
    explicit placement_strategy(placement_limits limits = {});
    virtual ~placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;

    /// \param candidates result of load_view::candidates for the work of the query
    /// \param random source of randomness for tie-breaking
    /// \return the chosen target, or the reason why none can be chosen
    placement_decision choose(
        const placement_query& query, const std::vector<target_candidate>& candidates, seeded_random& random);

    /// \return the name of the strategy as makePlacementStrategy takes it
    virtual std::string_view name() const = 0;

protected:
    using candidate_list = std::vector<const target_candidate*>;

    /// \param eligible at least one candidate
    /// \return one of \p eligible
    virtual const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random)
        = 0;

private:
    placement_limits m_limits;
};

/// Constants of the cost model, in seconds unless stated otherwise.
struct placement_costs {
    double prefillTokensPerSecond = 8000; ///< prompt tokens that an engine computes per second
    double batchOccupancySeconds = 14; ///< mean time that a request occupies a batch slot
    double fullBatchDelaySeconds = 0.3; ///< delay that a full batch adds compared with an empty batch
    double loadEstimateError = 2; ///< typical error of a load estimate in requests, not below 0.1
    double crossZoneSeconds = 0.001; ///< round trip to another zone
    double crossRegionSeconds = 0.08; ///< round trip to another region
    double adapterLoadSeconds = 1.5; ///< time to load an adapter that is not in memory
    double tieRelativeMargin = 0.05; ///< costs within this share above the lowest count as equal
    double tieMarginSeconds = 0.01; ///< costs within this time above the lowest count as equal
};

/// \param name round_robin, least_connections, random_of_two, prefix_hash or cost_based
/// \return the strategy, or null for an unknown name
std::unique_ptr<placement_strategy> makePlacementStrategy(
    std::string_view name, placement_limits limits = {}, placement_costs costs = {});

} // namespace oriolepick
