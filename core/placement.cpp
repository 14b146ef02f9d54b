#include "core/placement.h"

#include "core/cost_based_placement.h"
#include "core/placement_baselines.h"

#include <algorithm>

namespace oriolepick {

namespace {

    bool isFull(const target_candidate& candidate, const placement_limits& limits)
    {
        return candidate.waiting > limits.maxWaitingShare * candidate.batchLimit;
    }

    bool isExcluded(const placement_query& query, const target_id& target)
    {
        return std::find(query.excluded.begin(), query.excluded.end(), target) != query.excluded.end();
    }

} // namespace

placement_strategy::placement_strategy(placement_limits limits)
    : m_limits(limits)
{
}

placement_decision placement_strategy::choose(
    const placement_query& query, const std::vector<target_candidate>& candidates, seeded_random& random)
{
    candidate_list live;
    candidate_list suspected;
    bool anyUsable = false;
    for (const auto& candidate : candidates) {
        const bool isLive = candidate.state == target_state::Live;
        if ((!isLive && candidate.state != target_state::Suspected) || isExcluded(query, candidate.target))
            continue;
        anyUsable = true;
        if (!isFull(candidate, m_limits))
            (isLive ? live : suspected).push_back(&candidate);
    }
    const auto& eligible = live.empty() ? suspected : live;
    if (eligible.empty()) {
        if (anyUsable)
            return placement_failure { error_kind::Overloaded, m_limits.targetsFullRetryAfter };
        return placement_failure { error_kind::NoTarget, m_limits.noTargetRetryAfter };
    }
    const auto& chosen = pick(query, eligible, random);
    return target_choice { chosen.target, std::min(chosen.cachedTokens, query.prefixTokens) };
}

std::unique_ptr<placement_strategy> makePlacementStrategy(
    std::string_view name, placement_limits limits, placement_costs costs)
{
    if (name == "round_robin")
        return std::make_unique<round_robin_placement>(limits);
    if (name == "least_connections")
        return std::make_unique<least_connections_placement>(limits);
    if (name == "random_of_two")
        return std::make_unique<random_of_two_placement>(limits);
    if (name == "prefix_hash")
        return std::make_unique<prefix_hash_placement>(limits);
    if (name == "cost_based")
        return std::make_unique<cost_based_placement>(limits, costs);
    return nullptr;
}

} // namespace oriolepick
