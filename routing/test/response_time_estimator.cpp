// Guards against callers that wait for a hanging target, and against retries when all targets of a service are slow.
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

// Load pattern: the whole service is slower than its objective, so sending requests to another target would only add
// load.
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
