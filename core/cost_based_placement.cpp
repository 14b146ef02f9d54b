#include "core/cost_based_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace oriolepick {

namespace {

    // Engines serve waiting requests by priority, so an urgent request passes most of a queue.
    double queueDelayShare(request_priority priority)
    {
        switch (priority) {
        case request_priority::Urgent:
            return 0.3;
        case request_priority::Normal:
            return 0.7;
        case request_priority::Bulk:
            break;
        }
        return 1.0;
    }

} // namespace

cost_based_placement::cost_based_placement(placement_limits limits, placement_costs costs)
    : placement_strategy(limits)
    , m_costs(costs)
{
}

double cost_based_placement::cost(const placement_query& query, const target_candidate& candidate) const
{
    const double cached = std::min(candidate.cachedTokens, query.prefixTokens);
    const double prefill = (query.prefixTokens - cached) / m_costs.prefillTokensPerSecond;
    const double pending = candidate.pendingPrefillTokens / m_costs.prefillTokensPerSecond;
    const double batch = candidate.batchLimit;
    double latency = prefill + pending * queueDelayShare(query.priority);
    latency += m_costs.fullBatchDelaySeconds * candidate.running / batch;
    latency += queueDelayShare(query.priority) * m_costs.batchOccupancySeconds * expectedWaiting(candidate) / batch;
    latency += candidate.sameZone ? 0 : m_costs.crossZoneSeconds;
    latency += candidate.sameRegion ? 0 : m_costs.crossRegionSeconds;
    latency += candidate.adapterLoaded ? 0 : m_costs.adapterLoadSeconds;
    // Extra use counts repeated prefill a second time; the latency terms stay, so that no queue grows without bound.
    return latency + (1 - query.latencyWeight) * prefill;
}

// The estimate of the load is some requests off: a target that is believed to have one free place is often full.
double cost_based_placement::expectedWaiting(const target_candidate& candidate) const
{
    const double excess = candidate.running + candidate.waiting + 1 - candidate.batchLimit;
    return m_costs.loadEstimateError * std::log1p(std::exp(excess / m_costs.loadEstimateError));
}

const target_candidate& cost_based_placement::pick(
    const placement_query& query, const candidate_list& eligible, seeded_random& random)
{
    std::vector<double> costs;
    costs.reserve(eligible.size());
    double best = std::numeric_limits<double>::infinity();
    for (const auto* candidate : eligible) {
        costs.push_back(cost(query, *candidate));
        best = std::min(best, costs.back());
    }
    const double bound = best + std::max(m_costs.tieMarginSeconds, best * m_costs.tieRelativeMargin);
    const target_candidate* chosen = nullptr;
    std::uint64_t tieCount = 0;
    for (std::size_t index = 0; index < eligible.size(); ++index) {
        // Reservoir sampling over all candidates within the bound.
        if (costs[index] <= bound && !random.below(++tieCount))
            chosen = eligible[index];
    }
    return *chosen;
}

} // namespace oriolepick
