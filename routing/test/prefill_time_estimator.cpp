// Guards against limits that fit engines of another speed.
#include "routing/prefill_time_estimator.h"

#include <gtest/gtest.h>

#include <limits>

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

// Guards against an absurd token count whose estimate is negative on some processors, so that the request is admitted.
TEST(PrefillTimeEstimator, AbsurdPromptsTakeLongerThanAnyDeadline)
{
    const auto most = std::numeric_limits<std::uint64_t>::max();
    prefill_time_estimator estimator({});
    for (int prompt = 0; prompt < 40; ++prompt)
        estimator.record(service_name("slow"), 4'000, 2'000'000ms);
    EXPECT_EQ(estimator.estimate(service_name("slow"), most), 1'000'000'000ms);
}

TEST(PrefillTimeEstimator, IgnoresShortPrompts)
{
    prefill_time_estimator estimator({});
    estimator.record(service_name("s"), 10, 50ms);
    EXPECT_EQ(estimator.estimate(service_name("s"), 8'000), 1'000ms);
}
