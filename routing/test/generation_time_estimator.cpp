// Guards against starting generations that cannot end in time, and against refusing those that can.
#include "routing/generation_time_estimator.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const service_name Service("s");

TEST(GenerationTimeEstimator, IsZeroWithoutSamples)
{
    const generation_time_estimator estimator { generation_time_settings {} };
    EXPECT_EQ(estimator.minTime(Service, 1'000), 0ms);
    EXPECT_EQ(estimator.expectedTime(Service, 1'000), 0ms);
    EXPECT_EQ(estimator.maxTime(Service, 1'000), 0ms);
}

// Guards against a bound that the slowest of the recent generations exceed, and against one that stays after an engine
// was slow for a while.
TEST(GenerationTimeEstimator, BoundsGenerationsByTheSlowestRecentOne)
{
    generation_time_estimator estimator { generation_time_settings {} };
    estimator.record(Service, 100, 5s);
    estimator.record(Service, 100, 12s);
    estimator.record(Service, 100, 5s);
    EXPECT_GT(estimator.maxTime(Service, 10), 1'100ms);
    EXPECT_LT(estimator.expectedTime(Service, 10), 600ms);
    for (int generation = 0; generation < 200; ++generation)
        estimator.record(Service, 100, 5s);
    EXPECT_NEAR(estimator.maxTime(Service, 10).count(), 500, 10);
}

TEST(GenerationTimeEstimator, FollowsTheMeanOfCompletedGenerations)
{
    generation_time_estimator estimator { generation_time_settings {} };
    estimator.record(Service, 100, 5s);
    EXPECT_EQ(estimator.expectedTime(Service, 10), 500ms);
    EXPECT_EQ(estimator.minTime(Service, 10), 200ms);
    for (int generation = 0; generation < 200; ++generation)
        estimator.record(Service, 100, 10s);
    EXPECT_NEAR(estimator.expectedTime(Service, 10).count(), 1'000, 10);
}

TEST(GenerationTimeEstimator, IgnoresShortGenerations)
{
    generation_time_estimator estimator { generation_time_settings {} };
    estimator.record(Service, 2, 10s);
    EXPECT_EQ(estimator.expectedTime(Service, 10), 0ms);
}

} // namespace
