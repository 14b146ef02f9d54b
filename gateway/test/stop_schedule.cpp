// Guards against requests that are cut in a planned stop earlier than callers must expect, and against a process that
// is killed before it has ended its requests.
#include "gateway/stop_schedule.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

TEST(StopSchedule, RequestsAreCutInTheLastSixthOfTheGracePeriod)
{
    const instant stoppedAt { 1'000s };
    for (const auto grace : { 500ms, 1'500ms, 3'000ms, 5'000ms, 8'000ms, 60'000ms }) {
        const auto schedule = makeStopSchedule(stoppedAt, grace);
        EXPECT_GE(schedule.cutFrom, stoppedAt + grace * 5 / 6) << grace.count() << " ms";
        EXPECT_GE(schedule.cutUntil, schedule.cutFrom) << grace.count() << " ms";
        EXPECT_LT(schedule.listenUntil, schedule.certainFrom) << grace.count() << " ms";
        EXPECT_LE(schedule.certainFrom, std::max(stoppedAt + 3s, schedule.cutFrom)) << grace.count() << " ms";
        EXPECT_LT(schedule.listenUntil, schedule.cutFrom) << grace.count() << " ms";
        EXPECT_LT(schedule.cutUntil, stoppedAt + grace) << grace.count() << " ms";
    }
}

TEST(StopSchedule, TheLastRequestsAreSpread)
{
    const instant stoppedAt { 1'000s };
    const auto schedule = makeStopSchedule(stoppedAt, 8'000ms);
    EXPECT_EQ(schedule.cutUntil, stoppedAt + 7'600ms);
    EXPECT_EQ(schedule.cutFrom, stoppedAt + 6'800ms);
}

} // namespace
