/// \file
/// The well-known strategies that the cost-based one is measured against.
#pragma once

#include "core/placement.h"

namespace oriolepick {

/// Each target in turn.
class round_robin_placement : public placement_strategy {
public:
    using placement_strategy::placement_strategy;
    std::string_view name() const override { return "round_robin"; }

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;

private:
    std::uint64_t m_next = 0;
};

/// The target with the fewest requests as estimated; the first of equals.
class least_connections_placement : public placement_strategy {
public:
    using placement_strategy::placement_strategy;
    std::string_view name() const override { return "least_connections"; }

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;
};

/// The less loaded of two random targets.
class random_of_two_placement : public placement_strategy {
public:
    using placement_strategy::placement_strategy;
    std::string_view name() const override { return "random_of_two"; }

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;
};

/// Rendezvous hash of the prompt's first blocks, regardless of load.
class prefix_hash_placement : public placement_strategy {
public:
    using placement_strategy::placement_strategy;
    std::string_view name() const override { return "prefix_hash"; }

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;
};

} // namespace oriolepick
