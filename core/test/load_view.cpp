// Guards that a leaving target stays leaving whichever source speaks first, that the subset is balanced over zones and
// equal on every call, that own dispatches correct a stale report, and that lost cache events age the sketch.
#include "core/load_view.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

const fleet_name Fleet("atelier");
const model_ref Manuals { model_id(Fleet, "manuals"), model_version("1"), adapter_name() };

target_profile engine(int number, int zones)
{
    target_profile profile;
    profile.target = target_id(Fleet, "engine-" + std::to_string(number));
    profile.zone = availability_zone("zone-" + std::to_string(number % zones));
    profile.region = region_name("region");
    profile.model = Manuals;
    return profile;
}

load_view viewOf(int targets, int zones, const std::string& node = "node-1")
{
    load_view view(node_id(node), availability_zone("zone-0"), region_name("region"));
    for (int number = 0; number < targets; ++number)
        view.setTarget(engine(number, zones));
    return view;
}

target_candidate onlyCandidate(const load_view& view, const std::vector<block_hash>& blocks = {})
{
    return view.candidates(Manuals, blocks, instant(milliseconds(100))).at(0);
}

} // namespace

TEST(load_view, subset_is_balanced_over_zones_and_differs_between_nodes)
{
    const auto view = viewOf(300, 4);
    const auto subset = view.subset(Manuals);
    ASSERT_EQ(subset.size(), 32u);
    std::map<std::string, int> perZone;
    for (const auto& target : subset)
        ++perZone[view.profile(target)->zone.value()];
    for (const auto& [zone, count] : perZone)
        EXPECT_EQ(count, 8) << zone;
    EXPECT_EQ(subset, viewOf(300, 4).subset(Manuals));
    EXPECT_NE(subset, viewOf(300, 4, "node-2").subset(Manuals));
}

TEST(load_view, subset_changes_by_one_when_one_target_leaves)
{
    auto view = viewOf(300, 4);
    const auto before = view.subset(Manuals);
    view.markLeaving(before[5], leaving_source::InstanceList);
    const auto after = view.subset(Manuals);
    const std::set<target_id> kept(after.begin(), after.end());
    int missing = 0;
    for (const auto& target : before)
        missing += kept.count(target) ? 0 : 1;
    EXPECT_EQ(after.size(), 32u);
    EXPECT_EQ(missing, 1);
}

TEST(load_view, all_targets_when_fewer_than_the_subset_size)
{
    EXPECT_EQ(viewOf(24, 4).subset(Manuals).size(), 24u);
}

TEST(load_view, target_is_leaving_until_every_source_is_cleared)
{
    auto view = viewOf(2, 1);
    const auto target = engine(0, 1).target;
    view.markLeaving(target, leaving_source::Target);
    view.markLeaving(target, leaving_source::Ticket);
    view.clearLeaving(target, leaving_source::Target);
    view.setEjected(target, true);
    EXPECT_EQ(view.state(target), target_state::Leaving);
    view.clearLeaving(target, leaving_source::Ticket);
    EXPECT_EQ(view.state(target), target_state::Ejected);
    view.setEjected(target, false);
    EXPECT_EQ(view.state(target), target_state::Live);
    EXPECT_EQ(view.state(target_id(Fleet, "unknown")), target_state::Leaving);
}

TEST(load_view, target_with_another_version_is_not_a_candidate)
{
    const auto view = viewOf(3, 1);
    auto other = Manuals;
    other.version = model_version("2");
    EXPECT_TRUE(view.candidates(other, {}, instant()).empty());
}

TEST(load_view, own_dispatches_after_the_report_are_added)
{
    auto view = viewOf(1, 1);
    const auto target = engine(0, 1).target;
    view.recordDispatch(target, {}, 100, instant(milliseconds(10)));
    view.recordDispatch(target, {}, 100, instant(milliseconds(30)));
    view.recordReport(target, { 14, 1, 16, 0 }, instant(milliseconds(20)));
    EXPECT_DOUBLE_EQ(onlyCandidate(view).running + onlyCandidate(view).waiting, 16);
    view.recordReport(target, { 1, 0, 16, 0 }, instant(milliseconds(5))); // overtaken by the newer report
    EXPECT_DOUBLE_EQ(onlyCandidate(view).running, 16);
    view.recordFinished(target, 100, true, instant(milliseconds(40)));
    EXPECT_DOUBLE_EQ(onlyCandidate(view).running + onlyCandidate(view).waiting, 15);
    EXPECT_EQ(onlyCandidate(view).ownInFlight, 1u);
}

// Failure: all nodes run to a target that was idle some seconds ago.
TEST(load_view, stale_low_load_report_moves_towards_the_mean)
{
    auto view = viewOf(3, 1);
    const int loads[] = { 0, 8, 16 };
    for (int number = 0; number < 3; ++number)
        view.recordReport(engine(number, 1).target, { static_cast<std::uint32_t>(loads[number]), 0, 16, 0 }, instant());
    const auto loadAt = [&](int number, milliseconds time) {
        for (const auto& candidate : view.candidates(Manuals, {}, instant(time))) {
            if (candidate.target == engine(number, 1).target)
                return candidate.running + candidate.waiting;
        }
        return -1.0;
    };
    EXPECT_DOUBLE_EQ(loadAt(0, milliseconds(0)), 0);
    EXPECT_DOUBLE_EQ(loadAt(0, milliseconds(500)), 4);
    EXPECT_GT(loadAt(0, milliseconds(10'000)), 7.5);
    EXPECT_DOUBLE_EQ(loadAt(2, milliseconds(10'000)), 16); // news of a busy target is kept
}

TEST(load_view, all_targets_are_candidates_when_the_whole_subset_is_unusable)
{
    auto view = viewOf(100, 4);
    for (const auto& target : view.subset(Manuals))
        view.setEjected(target, true);
    EXPECT_EQ(view.candidates(Manuals, {}, instant()).size(), 100u);
}

TEST(load_view, adapter_that_cannot_be_loaded_excludes_the_target)
{
    auto view = viewOf(1, 1);
    auto adapted = Manuals;
    adapted.adapter = adapter_name("notes");
    EXPECT_EQ(view.candidates(adapted, {}, instant()).at(0).state, target_state::Leaving);
    auto loading = engine(0, 1);
    loading.loadsAdapters = true;
    view.setTarget(loading);
    EXPECT_EQ(view.candidates(adapted, {}, instant()).at(0).state, target_state::Live);
    EXPECT_FALSE(view.candidates(adapted, {}, instant()).at(0).adapterLoaded);
}

TEST(load_view, targets_without_recent_reports_are_polled)
{
    auto view = viewOf(2, 1);
    view.recordReport(engine(0, 1).target, {}, instant(milliseconds(5000)));
    EXPECT_EQ(view.targetsToPoll(instant(milliseconds(6000))).size(), 1u);
    EXPECT_EQ(view.targetsToPoll(instant(milliseconds(15'000))).size(), 2u);
}

TEST(prefix_sketch, counts_leading_blocks_and_applies_cache_events)
{
    auto view = viewOf(1, 1);
    const auto target = engine(0, 1).target;
    view.recordDispatch(target, { 1, 2, 3 }, 0, instant());
    EXPECT_EQ(onlyCandidate(view, { 1, 2, 3, 4 }).cachedTokens, 3 * 64u);
    view.recordCacheEvent(target, 1, { 4 }, { 2 });
    EXPECT_EQ(onlyCandidate(view, { 1, 2, 3, 4 }).cachedTokens, 64u);
    view.recordCacheEvent(target, 1, { 2 }, {}); // a repeated event is ignored
    EXPECT_EQ(onlyCandidate(view, { 1, 2, 3, 4 }).cachedTokens, 64u);
    view.recordRestart(target);
    EXPECT_EQ(onlyCandidate(view, { 1 }).cachedTokens, 0u);
}

TEST(prefix_sketch, lost_events_rotate_the_sketch_and_capacity_bounds_it)
{
    prefix_sketch sketch(160);
    sketch.acceptSequence(1);
    sketch.add({ 7 });
    sketch.acceptSequence(12); // 10 lost of a capacity of 160: one generation older
    EXPECT_EQ(sketch.prefixHits({ 7 }), 1u);
    sketch.acceptSequence(23);
    EXPECT_EQ(sketch.prefixHits({ 7 }), 0u);
    for (block_hash block = 0; block < 10'000; ++block)
        sketch.add({ block });
    EXPECT_LE(sketch.size(), 320u);
    EXPECT_EQ(sketch.prefixHits({ 9'999 }), 1u);
}
