// Guards against callers that wait for a target which hangs, and against repeats because all targets are slow.
#include "routing/response_time_estimator.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const service_name Service("s");

TEST(ResponseTimeEstimator, HangingTargetTimesOutWithinTheObjective)
{
    response_time_estimator estimator(response_time_settings {});
    EXPECT_EQ(estimator.patience(Service, 150ms), 105ms);
    for (int answer = 0; answer < 100; ++answer)
        estimator.record(Service, 30ms);
    EXPECT_EQ(estimator.patience(Service, 150ms), 105ms);
}

// Pattern of load: the whole service is slower than its objective; asking elsewhere would only add to it.
TEST(ResponseTimeEstimator, SlowServiceRaisesTheTimeout)
{
    response_time_estimator estimator(response_time_settings {});
    for (int answer = 0; answer < 200; ++answer)
        estimator.record(Service, 400ms);
    EXPECT_GE(estimator.patience(Service, 150ms), 1100ms);
    for (int answer = 0; answer < 200; ++answer)
        estimator.record(Service, 20ms);
    EXPECT_EQ(estimator.patience(Service, 150ms), 105ms);
}

} // namespace
