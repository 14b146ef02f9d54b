// Guards against engines that get more than they can hold: an overloaded engine preempts its newest runs and repeats
// the prefill of their prompts.
#include "routing/engine_admission.h"
#include "routing/engine_selection.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

// An engine for ten generations of 9,000 tokens that runs \p started generations with \p tokens each.
polled_engine engineWith(std::uint32_t started, std::uint64_t tokens)
{
    polled_engine engine;
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

generation_demand demand()
{
    return { 8'000, 1'000, 1'000ms, 4'500ms };
}

} // namespace

TEST(EngineAdmission, IdleEngineAdmits)
{
    EXPECT_TRUE(canAdmit(engineWith(0, 0), demand()));
}

TEST(EngineAdmission, BurstIsCountedAtItsPeakMemory)
{
    EXPECT_TRUE(canAdmit(engineWith(7, 8'100), demand()));
    EXPECT_FALSE(canAdmit(engineWith(8, 8'100), demand()))
        << "each grows by 1,000 tokens, and another node may send a request too";
}

TEST(EngineAdmission, LargePromptFitsAnIdleEngine)
{
    EXPECT_TRUE(canAdmit(engineWith(0, 0), { 84'000, 1'000, 1'000ms, 4'500ms }));
    EXPECT_TRUE(canAdmit(engineWith(1, 9'000), { 59'000, 1'000, 1'000ms, 4'500ms }));
    EXPECT_FALSE(canAdmit(engineWith(3, 9'000), { 59'000, 1'000, 1'000ms, 4'500ms }));
}

TEST(EngineAdmission, CopiesOfOtherRunsCountAgainstMemory)
{
    auto engine = engineWith(4, 8'500);
    engine.report->usedTokens += 5 * 9'000;
    EXPECT_FALSE(canAdmit(engine, demand()));
}

TEST(EngineAdmission, UnreportedRequestsOfThisNodeCount)
{
    auto engine = engineWith(0, 0);
    engine.ownUnreported = 4;
    EXPECT_FALSE(canAdmit(engine, demand())) << "the prefill of the fifth prompt would start after 4 s";
    engine.ownUnreported = 3;
    EXPECT_TRUE(canAdmit(engine, demand()));
}

TEST(EngineAdmission, PendingPrefillsDelayTheFirstEvent)
{
    auto engine = engineWith(2, 8'100);
    engine.report->admitted = 3; // one of them produces no events yet
    engine.report->queued = 2;
    EXPECT_EQ(expectedTimeToFirstEvent(engine, demand()), 4'000ms);
    EXPECT_TRUE(canAdmit(engine, demand()));
    engine.report->queued = 3;
    EXPECT_FALSE(canAdmit(engine, demand()));
}

TEST(EngineAdmission, EngineWithoutPrefillsIsUsedDespiteSlowEstimates)
{
    auto engine = engineWith(2, 8'100);
    EXPECT_TRUE(canAdmit(engine, { 8'000, 1'000, 9'000ms, 4'500ms }))
        << "otherwise nothing would show that they recovered";
    EXPECT_TRUE(canAdmit(engine, { 8'000, 1'000, 1'000ms, -100ms }));
    engine.report->queued = 1;
    EXPECT_FALSE(canAdmit(engine, { 8'000, 1'000, 9'000ms, 4'500ms }));
}

TEST(EngineAdmission, EngineWithoutFreeSlotsRefuses)
{
    auto engine = engineWith(2, 100);
    engine.target.slots = 2;
    EXPECT_FALSE(canAdmit(engine, demand()));
}

// Load pattern: callers with a short objective and a small share of the requests compete with many that may wait longer
// for engines without room.
TEST(EngineAdmission, LessUrgentRunsDoNotKeepAnUrgentRequestWaiting)
{
    auto engine = engineWith(10, 8'500);
    engine.report->queued = 3;
    for (auto& run : engine.report->runs) {
        run.tokens = 8'500;
        run.priority = 4;
    }
    auto urgent = demand();
    urgent.priority = 3;
    EXPECT_FALSE(canAdmit(engine, urgent));
    EXPECT_TRUE(canAdmit(withoutLessUrgent(engine, urgent), urgent)) << "the engine preempts for it";
    auto other = demand();
    other.priority = 4;
    EXPECT_FALSE(canAdmit(withoutLessUrgent(engine, other), other)) << "equals do not preempt each other";
    EXPECT_FALSE(canAdmit(withoutLessUrgent(engine, demand()), demand())) << "without priorities nothing changes";
}

TEST(EngineAdmission, UrgentRunsDelayAnotherUrgentRequest)
{
    auto engine = engineWith(10, 8'500);
    for (auto& run : engine.report->runs) {
        run.tokens = 8'500;
        run.priority = 3;
    }
    auto urgent = demand();
    urgent.priority = 3;
    EXPECT_FALSE(canAdmit(withoutLessUrgent(engine, urgent), urgent));
}

TEST(EngineAdmission, EngineWithoutReadableReportIsTried)
{
    polled_engine engine;
    engine.alive = true;
    EXPECT_TRUE(canAdmit(engine, demand()));
}
