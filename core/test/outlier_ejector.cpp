// Guards that the share of ejected targets stays within its cap whatever happens, that slow, erring and half-alive
// targets are ejected, and that they return through probes only.
#include "core/outlier_ejector.h"
#include "core/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

target_id target(std::uint64_t number)
{
    return target_id(fleet_name("atelier"), std::to_string(number));
}

instant at(int time)
{
    return instant(milliseconds(time));
}

template <typename Action> std::vector<Action> actionsOf(const std::vector<ejector_action>& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions) {
        if (const auto* match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

outlier_ejector groupOf(std::uint64_t count)
{
    outlier_ejector ejector;
    for (std::uint64_t number = 0; number < count; ++number)
        ejector.addTarget(target(number));
    return ejector;
}

void fail(outlier_ejector& ejector, std::uint64_t number, target_outcome outcome = target_outcome::Error)
{
    for (int count = 0; count < 5; ++count)
        ejector.recordOutcome(target(number), outcome, milliseconds(0));
}

} // namespace

RC_GTEST_PROP(outlier_ejector, ejected_share_never_exceeds_the_cap, (std::uint64_t seed))
{
    seeded_random random(seed);
    outlier_ejector ejector;
    std::size_t members = 0;
    std::vector<bool> present(30, false);
    for (int time = 0; time < 30'000; time += 100) {
        const auto number = random.below(30);
        if (random.below(3)) {
            fail(ejector, number);
        } else if (present[number]) {
            ejector.removeTarget(target(number));
            present[number] = false;
            --members;
        } else {
            ejector.addTarget(target(number));
            present[number] = true;
            ++members;
        }
        const auto actions = ejector.evaluate(at(time));
        const std::size_t cap = std::max<std::size_t>(1, members * 3 / 10);
        RC_ASSERT(ejector.ejectedCount() <= (members < 2 ? 0 : cap));
        RC_ASSERT(!members || ejector.ejectedCount() < members);
        for (const auto& probe : actionsOf<probe_ejected_target>(actions))
            ejector.recordProbe(probe.target, random.below(2) != 0, at(time));
    }
}

TEST(outlier_ejector, unresponsive_target_is_reinstated_only_after_successful_probes)
{
    auto ejector = groupOf(4);
    fail(ejector, 2, target_outcome::NoProgress);
    const auto ejected = actionsOf<eject_target>(ejector.evaluate(at(0)));
    ASSERT_EQ(ejected.size(), 1u);
    EXPECT_EQ(ejected[0].target, target(2));
    EXPECT_EQ(ejected[0].reason, ejection_reason::NoProgress);
    EXPECT_TRUE(ejector.evaluate(at(4'900)).empty());
    ASSERT_EQ(actionsOf<probe_ejected_target>(ejector.evaluate(at(5'000))).size(), 1u);
    ejector.recordProbe(target(2), true, at(5'000));
    EXPECT_TRUE(ejector.isEjected(target(2)));
    ejector.recordProbe(target(2), false, at(6'000)); // a failure starts the count again
    ejector.recordProbe(target(2), true, at(7'000));
    EXPECT_TRUE(actionsOf<reinstate_target>(ejector.evaluate(at(7'100))).empty());
    ejector.recordProbe(target(2), true, at(8'000));
    EXPECT_EQ(actionsOf<reinstate_target>(ejector.evaluate(at(8'100))).size(), 1u);
    EXPECT_FALSE(ejector.isEjected(target(2)));
}

TEST(outlier_ejector, repeated_ejection_lasts_longer)
{
    auto ejector = groupOf(4);
    fail(ejector, 0);
    ejector.evaluate(at(0));
    ejector.recordProbe(target(0), true, at(5'000));
    ejector.recordProbe(target(0), true, at(6'000));
    ejector.evaluate(at(6'000));
    fail(ejector, 0);
    ejector.evaluate(at(7'000));
    EXPECT_TRUE(actionsOf<probe_ejected_target>(ejector.evaluate(at(16'900))).empty());
    EXPECT_EQ(actionsOf<probe_ejected_target>(ejector.evaluate(at(17'000))).size(), 1u);
}

TEST(outlier_ejector, slow_target_is_ejected_but_a_slow_group_is_not)
{
    auto ejector = groupOf(5);
    const auto window = [&](int time, milliseconds slow, milliseconds normal) {
        for (std::uint64_t number = 0; number < 5; ++number) {
            for (int count = 0; count < 10; ++count)
                ejector.recordOutcome(target(number), target_outcome::Success, number ? normal : slow);
        }
        return actionsOf<eject_target>(ejector.evaluate(at(time)));
    };
    ejector.evaluate(at(0));
    EXPECT_TRUE(window(10'000, milliseconds(900), milliseconds(900)).empty());
    const auto ejected = window(20'000, milliseconds(950), milliseconds(300));
    ASSERT_EQ(ejected.size(), 1u);
    EXPECT_EQ(ejected[0].target, target(0));
    EXPECT_EQ(ejected[0].reason, ejection_reason::Slow);
}

TEST(outlier_ejector, most_targets_stay_in_service_when_all_fail)
{
    auto ejector = groupOf(10);
    for (std::uint64_t number = 0; number < 10; ++number)
        fail(ejector, number);
    EXPECT_EQ(actionsOf<eject_target>(ejector.evaluate(at(0))).size(), 3u);
}
