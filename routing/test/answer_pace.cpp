// Guards against callers that wait for a target which hangs, and against repeats because all targets are slow.
#include "routing/answer_pace.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const service_name Service("s");

TEST(AnswerPace, ATargetThatHangsIsGivenUpWithinTheObjective)
{
    answer_pace pace(pace_settings {});
    EXPECT_EQ(pace.patience(Service, 150ms), 105ms);
    for (int answer = 0; answer < 100; ++answer)
        pace.record(Service, 30ms);
    EXPECT_EQ(pace.patience(Service, 150ms), 105ms);
}

// Pattern of load: the whole service is slower than its objective; asking elsewhere would only add to it.
TEST(AnswerPace, AServiceThatIsSlowAsAWholeIsWaitedFor)
{
    answer_pace pace(pace_settings {});
    for (int answer = 0; answer < 200; ++answer)
        pace.record(Service, 400ms);
    EXPECT_GE(pace.patience(Service, 150ms), 1100ms);
    for (int answer = 0; answer < 200; ++answer)
        pace.record(Service, 20ms);
    EXPECT_EQ(pace.patience(Service, 150ms), 105ms);
}

} // namespace
