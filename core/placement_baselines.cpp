#include "core/placement_baselines.h"

#include "core/stable_hash.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Longer than a shared system prompt, shorter than a long shared document.
    constexpr std::size_t HashedBlocks = 8;

    double loadOf(const target_candidate& candidate)
    {
        return candidate.running + candidate.waiting;
    }

} // namespace

const target_candidate& round_robin_placement::pick(
    const placement_query&, const candidate_list& eligible, seeded_random&)
{
    return *eligible[m_next++ % eligible.size()];
}

const target_candidate& least_connections_placement::pick(
    const placement_query&, const candidate_list& eligible, seeded_random&)
{
    return **std::min_element(eligible.begin(), eligible.end(),
        [](const auto* left, const auto* right) { return loadOf(*left) < loadOf(*right); });
}

const target_candidate& random_of_two_placement::pick(
    const placement_query&, const candidate_list& eligible, seeded_random& random)
{
    const auto* first = eligible[random.below(eligible.size())];
    const auto* second = eligible[random.below(eligible.size())];
    return loadOf(*second) < loadOf(*first) ? *second : *first;
}

const target_candidate& prefix_hash_placement::pick(
    const placement_query& query, const candidate_list& eligible, seeded_random& random)
{
    if (query.prefixBlocks.empty())
        return *eligible[random.below(eligible.size())];
    const auto seed = query.prefixBlocks[std::min(HashedBlocks, query.prefixBlocks.size()) - 1];
    const target_candidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto* candidate : eligible) {
        const auto score = stableHash(candidate->target.text(), seed);
        if (!best || score > bestScore) {
            best = candidate;
            bestScore = score;
        }
    }
    return *best;
}

} // namespace oriolepick
