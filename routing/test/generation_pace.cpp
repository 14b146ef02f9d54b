// Guards against starting generations that cannot end in time, and against refusing those that can.
#include "routing/generation_pace.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const service_name Service("s");

TEST(GenerationPace, NothingIsImpossibleWhileNothingIsKnown)
{
    const generation_pace pace { generation_pace_settings {} };
    EXPECT_EQ(pace.least(Service, 1'000), 0ms);
    EXPECT_EQ(pace.expected(Service, 1'000), 0ms);
}

TEST(GenerationPace, FollowsThePaceOfWholeGenerations)
{
    generation_pace pace { generation_pace_settings {} };
    pace.record(Service, 100, 5s);
    EXPECT_EQ(pace.expected(Service, 10), 500ms);
    EXPECT_EQ(pace.least(Service, 10), 200ms);
    for (int generation = 0; generation < 200; ++generation)
        pace.record(Service, 100, 10s);
    EXPECT_NEAR(pace.expected(Service, 10).count(), 1'000, 10);
}

TEST(GenerationPace, ShortGenerationsSayNothing)
{
    generation_pace pace { generation_pace_settings {} };
    pace.record(Service, 2, 10s);
    EXPECT_EQ(pace.expected(Service, 10), 0ms);
}

} // namespace
