// Guards against generations that end because their target was silent for a moment, though no other target could go on.
#include "generation_simulation_impl.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

const latency_first_policy LatencyFirst;
const waiting_policy Waiting;
const std::array<const resume_policy*, 2> Policies { &LatencyFirst, &Waiting };
constexpr milliseconds SilentAt { 250 }; // in the middle of the stream

/// Runs a generation whose target falls silent for some seconds.
/// \param withBreak the connection is lost at the same moment, so that an attach meets the silence
void runWithSilence(generation_simulation& world, bool withBreak)
{
    world.applyAt(SilentAt, fault::EnginePause);
    if (withBreak)
        world.applyAt(SilentAt, fault::LostConnection);
    world.run();
}

} // namespace

TEST(silent_targets, the_only_target_goes_on_after_its_silence)
{
    for (const auto* policy : Policies) {
        for (const bool withBreak : { false, true }) {
            generation_simulation world(*policy, {}, 1);
            runWithSilence(world, withBreak);
            EXPECT_TRUE(world.violations.empty()) << world.violations.front();
            EXPECT_TRUE(world.completed()) << policy->name() << " break " << withBreak;
            EXPECT_EQ(world.starts, 1) << policy->name() << " break " << withBreak;
        }
    }
}

TEST(silent_targets, another_target_takes_over_within_three_seconds)
{
    for (const auto* policy : Policies) {
        for (const bool withBreak : { false, true }) {
            generation_simulation world(*policy);
            runWithSilence(world, withBreak);
            EXPECT_TRUE(world.violations.empty()) << world.violations.front();
            EXPECT_TRUE(world.completed()) << policy->name() << " break " << withBreak;
            EXPECT_EQ(world.starts, 2) << policy->name() << " break " << withBreak;
            for (std::size_t index = 1; index < world.deliveredAt.size(); ++index)
                EXPECT_LT(world.deliveredAt[index] - world.deliveredAt[index - 1], milliseconds(3000))
                    << policy->name() << " break " << withBreak;
        }
    }
}

TEST(silent_targets, the_end_of_the_only_target_ends_the_generation_before_its_deadline)
{
    for (const auto* policy : Policies) {
        generation_simulation world(*policy, {}, 1);
        world.applyAt(SilentAt, fault::EnginePause);
        world.applyAt(SilentAt + milliseconds(2000), fault::EngineCrash);
        world.run();
        EXPECT_TRUE(world.violations.empty()) << world.violations.front();
        ASSERT_NE(world.failure(), nullptr) << policy->name();
        EXPECT_EQ(world.failure()->kind, error_kind::TargetFailed) << policy->name();
    }
}
