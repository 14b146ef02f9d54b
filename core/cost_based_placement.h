/// \file
/// The product's strategy: the target with the least expected cost in seconds.
#pragma once

#include "core/placement.h"

namespace oriolepick {

/// Adds up prefill of uncached tokens, queue, batch room, distance and adapter load, weighted between latency and
/// extra use. Costs that are nearly equal are chosen among at random, so that nodes with equal stale news spread.
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
