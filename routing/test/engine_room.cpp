// Guards against engines that get more than they can hold: an overloaded engine preempts its newest runs and repeats
// the prefill of their prompts.
#include "routing/engine_room.h"
#include "routing/engine_survey.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

// An engine for ten generations of 9,000 tokens that runs \p started generations with \p tokens each.
surveyed_engine engineWith(std::uint32_t started, std::uint64_t tokens)
{
    surveyed_engine engine;
    engine.alive = true;
    engine.target.slots = 64;
    engine.report.emplace();
    engine.report->totalTokens = 90'000;
    engine.report->admitted = started;
    for (std::uint32_t run = 0; run < started; ++run)
        engine.report->runs.push_back({ std::to_string(run), 10 });
    engine.report->usedTokens = started * tokens;
    return engine;
}

generation_need need()
{
    return { 8'000, 1'000, 1'000ms, 4'500ms };
}

} // namespace

TEST(EngineRoom, AnIdleEngineHasRoom)
{
    EXPECT_TRUE(hasRoom(engineWith(0, 0), need()));
}

TEST(EngineRoom, ABurstIsCountedByWhatItsRunsWillNeed)
{
    EXPECT_TRUE(hasRoom(engineWith(7, 8'100), need()));
    EXPECT_FALSE(hasRoom(engineWith(8, 8'100), need()))
        << "each grows by 1,000 tokens, and another node may send a request too";
}

TEST(EngineRoom, ALargePromptFitsAnIdleEngine)
{
    EXPECT_TRUE(hasRoom(engineWith(0, 0), { 84'000, 1'000, 1'000ms, 4'500ms }));
    EXPECT_TRUE(hasRoom(engineWith(1, 9'000), { 59'000, 1'000, 1'000ms, 4'500ms }));
    EXPECT_FALSE(hasRoom(engineWith(3, 9'000), { 59'000, 1'000, 1'000ms, 4'500ms }));
}

TEST(EngineRoom, CopiesOfOtherRunsTakeRoom)
{
    auto engine = engineWith(4, 8'500);
    engine.report->usedTokens += 5 * 9'000;
    EXPECT_FALSE(hasRoom(engine, need()));
}

TEST(EngineRoom, ABurstOfThisNodeIsSeenBeforeTheEngineReportsIt)
{
    auto engine = engineWith(0, 0);
    engine.ownUnreported = 4;
    EXPECT_FALSE(hasRoom(engine, need())) << "the prefill of the fifth prompt would start after 4 s";
    engine.ownUnreported = 3;
    EXPECT_TRUE(hasRoom(engine, need()));
}

TEST(EngineRoom, PromptsThatAreReadOrWaitDelayTheNext)
{
    auto engine = engineWith(2, 8'100);
    engine.report->admitted = 3; // one of them produces no events yet
    engine.report->queued = 2;
    EXPECT_EQ(expectedStart(engine, need()), 4'000ms);
    EXPECT_TRUE(hasRoom(engine, need()));
    engine.report->queued = 3;
    EXPECT_FALSE(hasRoom(engine, need()));
}

TEST(EngineRoom, AnEngineThatReadsNothingIsUsedHoweverSlowEnginesAre)
{
    auto engine = engineWith(2, 8'100);
    EXPECT_TRUE(hasRoom(engine, { 8'000, 1'000, 9'000ms, 4'500ms }))
        << "otherwise nothing would show that they recovered";
    EXPECT_TRUE(hasRoom(engine, { 8'000, 1'000, 1'000ms, -100ms }));
    engine.report->queued = 1;
    EXPECT_FALSE(hasRoom(engine, { 8'000, 1'000, 9'000ms, 4'500ms }));
}

TEST(EngineRoom, AQueueAtAnEngineMeansNoPlaces)
{
    auto engine = engineWith(2, 100);
    engine.target.slots = 2;
    EXPECT_FALSE(hasRoom(engine, need()));
}

TEST(EngineRoom, AnEngineWithoutAReadableReportIsTried)
{
    surveyed_engine engine;
    engine.alive = true;
    EXPECT_TRUE(hasRoom(engine, need()));
}
