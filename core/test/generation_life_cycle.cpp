// Guards the plain life cycle: an undisturbed stream, a crash in the middle, and answers before any dispatch.
#include "fake_world_impl.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

const latency_first_policy LatencyFirst;
const waiting_policy Waiting;

} // namespace

TEST(generation, streams_to_the_end_without_extra_work)
{
    fake_world world(LatencyFirst);
    world.run();
    EXPECT_TRUE(world.violations.empty()) << world.violations.front();
    EXPECT_TRUE(world.completed());
    EXPECT_EQ(world.starts, 1);
    EXPECT_EQ(world.current->extraTokens(), 0u);
    EXPECT_EQ(world.current->state(), generation_state::Finished);
}

TEST(generation, continues_elsewhere_after_a_crash)
{
    for (const resume_policy* policy :
        { static_cast<const resume_policy*>(&LatencyFirst), static_cast<const resume_policy*>(&Waiting) }) {
        fake_world world(*policy, { { life_step::MidToken, fault::EngineCrash } });
        world.run();
        EXPECT_TRUE(world.violations.empty()) << world.violations.front();
        EXPECT_TRUE(world.completed()) << policy->name();
        EXPECT_EQ(world.starts, 2) << policy->name();
    }
}

TEST(generation, lost_connection_costs_nothing_while_the_engine_lives)
{
    fake_world world(Waiting, { { life_step::MidToken, fault::LostConnection } });
    world.run();
    EXPECT_TRUE(world.completed());
    EXPECT_EQ(world.starts, 1);
    EXPECT_EQ(world.current->extraTokens(), 0u);
}
