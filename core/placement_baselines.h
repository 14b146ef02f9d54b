/// \file
/// Standard placement strategies, used as baselines for cost_based_placement.
#pragma once

#include "core/placement.h"

namespace oriolepick {

/// Round robin over the eligible targets.
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

/// Selects the target with the lowest estimated number of requests, and the first of several such targets.
class least_connections_placement : public placement_strategy {
public:
    using placement_strategy::placement_strategy;
    std::string_view name() const override { return "least_connections"; }

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;
};

/// Selects the less loaded of two random targets (power of two choices).
class random_of_two_placement : public placement_strategy {
public:
    using placement_strategy::placement_strategy;
    std::string_view name() const override { return "random_of_two"; }

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;
};

/// Selects a target by rendezvous hashing of the first blocks of the prompt, regardless of load. Prompts without a full
/// block go to a random target.
class prefix_hash_placement : public placement_strategy {
public:
    using placement_strategy::placement_strategy;
    std::string_view name() const override { return "prefix_hash"; }

protected:
    const target_candidate& pick(
        const placement_query& query, const candidate_list& eligible, seeded_random& random) override;
};

} // namespace oriolepick
