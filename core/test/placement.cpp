// Guards that no strategy sends work to a leaving, ejected, excluded or full target, that nodes with equal stale news
// do not all choose one target, and that the cost-based strategy weighs prefix hits against load.
#include "core/placement.h"
#include "core/cost_based_placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace oriolepick;

namespace {

const fleet_name Fleet("refill");
const std::vector<std::string> Strategies { "round_robin", "least_connections", "random_of_two", "prefix_hash",
    "cost_based" };

target_candidate candidate(int number)
{
    target_candidate result;
    result.target = target_id(Fleet, std::to_string(number));
    result.batchLimit = 16;
    return result;
}

placement_query query(std::uint32_t tokens = 1000)
{
    placement_query result;
    result.prefixTokens = tokens;
    return result;
}

target_id chosen(const placement_decision& decision)
{
    const auto* choice = std::get_if<target_choice>(&decision);
    return choice ? choice->target : target_id();
}

} // namespace

RC_GTEST_PROP(placement_strategy, chooses_only_usable_targets, ())
{
    seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
    const auto strategy = makePlacementStrategy(*rc::gen::elementOf(Strategies));
    std::vector<target_candidate> candidates;
    auto placementQuery = query();
    placementQuery.prefixBlocks = { random.next(), random.next() };
    const auto count = *rc::gen::inRange(0, 20);
    for (int number = 0; number < count; ++number) {
        candidates.push_back(candidate(number));
        candidates.back().state = static_cast<target_state>(random.below(4));
        candidates.back().waiting = static_cast<double>(random.below(24));
        if (!random.below(5))
            placementQuery.excluded.push_back(candidates.back().target);
    }
    const auto usable = [&](const target_candidate& item, target_state state) {
        return item.state == state && item.waiting <= 16
            && std::find(placementQuery.excluded.begin(), placementQuery.excluded.end(), item.target)
            == placementQuery.excluded.end();
    };
    const auto any = [&](target_state state) {
        return std::any_of(candidates.begin(), candidates.end(), [&](const auto& item) { return usable(item, state); });
    };
    const auto decision = strategy->choose(placementQuery, candidates, random);
    if (const auto* none = std::get_if<placement_failure>(&decision)) {
        RC_ASSERT(!any(target_state::Live) && !any(target_state::Suspected));
        RC_ASSERT(none->retryAfter.count() > 0);
        return;
    }
    const auto found = std::find_if(
        candidates.begin(), candidates.end(), [&](const auto& item) { return item.target == chosen(decision); });
    RC_ASSERT(usable(*found, any(target_state::Live) ? target_state::Live : target_state::Suspected));
}

// Failure: a leaving target receives a request after any of its three announcements.
RC_GTEST_PROP(placement_strategy, leaving_target_receives_no_new_requests, ())
{
    seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
    const model_ref model { model_id(Fleet, "bulk"), model_version("1"), adapter_name() };
    load_view view(node_id("node"), availability_zone("a"), region_name("r"), { 4, 64, std::chrono::seconds(10) });
    const auto strategy = makePlacementStrategy(*rc::gen::elementOf(Strategies));
    std::map<target_id, int> sources;
    for (int number = 0; number < 8; ++number) {
        target_profile profile;
        profile.target = target_id(Fleet, std::to_string(number));
        profile.zone = availability_zone(std::to_string(number % 3));
        profile.model = model;
        view.setTarget(profile);
    }
    for (int step = 0; step < 60; ++step) {
        const target_id target(Fleet, std::to_string(random.below(8)));
        const int bit = 1 << random.below(3);
        if (random.below(2)) {
            view.markLeaving(target, static_cast<leaving_source>(bit));
            sources[target] |= bit;
        } else {
            view.clearLeaving(target, static_cast<leaving_source>(bit));
            sources[target] &= ~bit;
        }
        auto placementQuery = query();
        placementQuery.work = model;
        const auto decision = strategy->choose(placementQuery, view.candidates(model, {}, instant()), random);
        if (!chosen(decision).empty())
            RC_ASSERT(sources[chosen(decision)] == 0);
    }
}

TEST(cost_based_placement, nodes_with_equal_stale_reports_spread_over_targets)
{
    std::vector<target_candidate> candidates;
    for (int number = 0; number < 16; ++number)
        candidates.push_back(candidate(number));
    std::map<target_id, int> requests;
    for (std::uint64_t node = 0; node < 320; ++node) {
        seeded_random random(node);
        const auto strategy = makePlacementStrategy("cost_based");
        ++requests[chosen(strategy->choose(query(), candidates, random))];
    }
    for (const auto& [target, count] : requests)
        EXPECT_LT(count, 45) << target.text() << ", 20 expected";
    EXPECT_EQ(requests.size(), 16u);
}

TEST(cost_based_placement, prefers_a_prefix_hit_until_the_target_is_overloaded)
{
    seeded_random random(1);
    const auto strategy = makePlacementStrategy("cost_based");
    std::vector<target_candidate> candidates { candidate(0), candidate(1) };
    candidates[1].cachedTokens = 8000;
    candidates[1].running = 4;
    EXPECT_EQ(chosen(strategy->choose(query(8000), candidates, random)).name(), "1");
    candidates[1].running = 16;
    candidates[1].waiting = 15;
    EXPECT_EQ(chosen(strategy->choose(query(8000), candidates, random)).name(), "0");
}

TEST(cost_based_placement, each_term_raises_the_cost)
{
    const cost_based_placement strategy({}, {});
    const double base = strategy.cost(query(), candidate(0));
    const auto raised = [&](auto change) {
        auto worse = candidate(0);
        change(worse);
        return strategy.cost(query(), worse) - base;
    };
    EXPECT_GT(raised([](auto& item) { item.sameZone = false; }), 0);
    EXPECT_GT(raised([](auto& item) { item.sameRegion = false; }), raised([](auto& item) { item.sameZone = false; }));
    EXPECT_GT(raised([](auto& item) { item.adapterLoaded = false; }), 0);
    EXPECT_GT(raised([](auto& item) { item.running = 8; }), 0);
    EXPECT_GT(raised([](auto& item) { item.waiting = 4; }), 0);
    EXPECT_GT(raised([](auto& item) { item.pendingPrefillTokens = 4000; }), 0);
    EXPECT_LT(raised([](auto& item) { item.cachedTokens = 500; }), 0);
    auto extraUse = query();
    extraUse.latencyWeight = 0;
    EXPECT_GT(strategy.cost(extraUse, candidate(0)), base);
}

TEST(placement_strategy, unknown_name_is_null)
{
    EXPECT_EQ(makePlacementStrategy("best"), nullptr);
    for (const auto& name : Strategies)
        EXPECT_EQ(makePlacementStrategy(name)->name(), name);
}
