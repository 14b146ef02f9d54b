// Guards against limits that were set for engines of another speed.
#include "routing/prefill_time_estimator.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

TEST(PrefillTimeEstimator, UsesTheInitialSpeedWithoutSamples)
{
    EXPECT_EQ(prefill_time_estimator({}).estimate(service_name("s"), 8'000), 1'000ms);
}

TEST(PrefillTimeEstimator, FollowsTheEnginesOfEachService)
{
    prefill_time_estimator estimator({});
    for (int prompt = 0; prompt < 40; ++prompt)
        estimator.record(service_name("slow"), 4'000, 2'000ms);
    EXPECT_EQ(estimator.estimate(service_name("slow"), 8'000), 4'000ms);
    EXPECT_EQ(estimator.estimate(service_name("s"), 8'000), 1'000ms);
}

TEST(PrefillTimeEstimator, IgnoresShortPrompts)
{
    prefill_time_estimator estimator({});
    estimator.record(service_name("s"), 10, 50ms);
    EXPECT_EQ(estimator.estimate(service_name("s"), 8'000), 1'000ms);
}
