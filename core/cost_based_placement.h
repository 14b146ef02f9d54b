/// \file
/// Placement strategy for production use: selects the target with the lowest expected cost in seconds.
#pragma once

#include "core/placement.h"

namespace oriolepick {

/// The cost is the sum of the delays from prefill of uncached tokens, queueing, batch occupancy, network distance and
/// adapter loading. placement_query::latencyWeight sets how much repeated prefill counts in addition as wasted compute.
/// Targets with nearly equal costs are chosen among at random, so that nodes with equal stale load reports do not all
/// choose the same target.
class cost_based_placement : public placement_strategy {
public:
    cost_based_placement(placement_limits limits, placement_costs costs);
    std::string_view name() const override { return "cost_based"; }

    /// \return the expected cost in seconds of sending the query to \p candidate
    double cost(const placement_query& query, const target_candidate& candidate) const;

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;

private:
    double expectedWaiting(const target_candidate& candidate) const;

    placement_costs m_costs;
};

} // namespace oriolepick
