// Guards against closing connections by a limit that their callers cannot know, and against limits that never apply.
#include "gateway/idle_limit.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const instant Start { 1'000s };
constexpr std::chrono::milliseconds LearningTime = 4s;

class IdleLimit : public testing::Test {
protected:
    instant due(instant idleSince) const { return limit.dueAt(idleSince, LearningTime); }

    idle_limit limit { 15s };
};

TEST_F(IdleLimit, AppliesFromTheBeginning)
{
    EXPECT_EQ(due(Start), Start + 15s);
}

TEST_F(IdleLimit, AShorterLimitCountsFromWhenCallersKnowIt)
{
    limit.apply(2s, Start);
    EXPECT_EQ(due(Start - 14s), Start + 1s) << "the limit before is reached first";
    EXPECT_EQ(due(Start), Start + LearningTime + 2s);
    EXPECT_EQ(due(Start + 1s), Start + LearningTime + 2s);
    EXPECT_EQ(due(Start + 10s), Start + 12s);
}

TEST_F(IdleLimit, ALongerLimitAppliesToConnectionsThatAreIdle)
{
    limit.apply(60s, Start);
    EXPECT_EQ(due(Start - 14s), Start + 46s);
}

TEST_F(IdleLimit, ALongLimitThatIsWithdrawnStillHolds)
{
    limit.apply(60s, Start);
    limit.apply(10s, Start + 14s);
    EXPECT_EQ(due(Start), Start + 14s + LearningTime + 10s);
}

TEST_F(IdleLimit, ALimitBetweenTwoEarlierOnesReplacesTheShorter)
{
    limit.apply(2s, Start);
    limit.apply(5s, Start + 10s);
    EXPECT_EQ(due(Start + 9s), Start + 14s);
    EXPECT_EQ(due(Start - 14s), Start + 1s);
}

TEST_F(IdleLimit, ASeriesOfShorterLimitsClosesNoConnectionEarly)
{
    for (int number = 1; number <= 100; ++number)
        limit.apply(15s - number * 100ms, Start + number * 100ms);
    EXPECT_GE(due(Start), Start + 15s);
    EXPECT_EQ(due(Start + 60s), Start + 65s);
}

} // namespace
