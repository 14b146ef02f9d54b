// Guards against generations that are begun although they cannot end in time, and against refusing those that can.
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
