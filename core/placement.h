/// \file
/// Choice of a target. Every choice among targets, for generations and plain services, goes through one
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

/// What a request asks of the placement.
struct placement_query {
    work_ref work;
    std::vector<block_hash> prefixBlocks; ///< chained hashes of the prompt's full blocks
    std::uint32_t prefixTokens = 0; ///< prompt tokens, including delivered tokens of a continuation
    request_priority priority = request_priority::Normal;
    std::vector<target_id> excluded; ///< targets that must not be chosen
    double latencyWeight = 0.5; ///< fleet's weight from 0 (least extra use) to 1 (least latency)
};

/// A chosen target.
struct target_choice {
    target_id target;
    std::uint32_t cachedTokens = 0; ///< prompt tokens expected to be cached there
};

/// No target can be chosen.
struct placement_failure {
    error_kind kind = error_kind::NoTarget; ///< NoTarget, or Overloaded when all targets are full
    std::chrono::milliseconds retryAfter { 0 };
};

using placement_decision = std::variant<target_choice, placement_failure>;

/// Settings that all strategies share.
struct placement_limits {
    double maxWaitingShare = 1.0; ///< a target with more waiting requests than this share of its batch is full
    std::chrono::milliseconds noTargetRetryAfter {
        1'000
    }; ///< when no target is usable: a state change is needed first
    std::chrono::milliseconds targetsFullRetryAfter { 500 }; ///< when all are full: about one completion per target
};

/// Base of all strategies: filters the candidates, so that no strategy can choose a leaving, ejected, excluded or full
/// target; derived classes only rank the rest.
class placement_strategy {
public:
    explicit placement_strategy(placement_limits limits = {});
    virtual ~placement_strategy() = default;
    placement_strategy(const placement_strategy&) = delete;
    placement_strategy& operator=(const placement_strategy&) = delete;

    /// \param candidates from load_view::candidates for the query's work
    /// \param random injected source for tie-breaking
    placement_decision choose(
        const placement_query& query, const std::vector<target_candidate>& candidates, seeded_random& random);

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
    double batchOccupancySeconds = 14; ///< mean time that a request occupies a place in the batch
    double fullBatchDelaySeconds = 0.3; ///< delay that a full batch adds compared with an empty one
    double loadEstimateError = 2; ///< typical error of a load estimate in requests, not below 0.1
    double crossZoneSeconds = 0.001; ///< round trip to another zone
    double crossRegionSeconds = 0.08; ///< round trip to another region
    double adapterLoadSeconds = 1.5; ///< load of an adapter that is not in memory
    double tieRelativeMargin = 0.05; ///< costs within this share of the best count as equal
    double tieMarginSeconds = 0.01; ///< costs within this time of the best count as equal
};

/// \param name round_robin, least_connections, random_of_two, prefix_hash or cost_based
/// \return the strategy, or null for an unknown name
std::unique_ptr<placement_strategy> makePlacementStrategy(
    std::string_view name, placement_limits limits = {}, placement_costs costs = {});

} // namespace oriolepick
