// Guards the stall detector: adaptive to the stream and the target, within its limits, and never taking a slow engine
// for a dead one.
#include "core/stall_detector.h"
#include "generation_simulation_impl.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;

namespace {

const target_id Target(fleet_name("one"), "engine");
const instant Start { std::chrono::hours(1) };

/// \return a detector that saw \p count gaps of \p gap, the last token at \p now
stall_detector steady(milliseconds gap, int count, instant& now)
{
    stall_detector detector { stall_settings {} };
    detector.attemptStarted(now, milliseconds(100));
    for (int index = 0; index <= count; ++index) {
        now += gap;
        detector.tokenArrived(now);
    }
    return detector;
}

} // namespace

TEST(stall_detector, fast_stream_is_suspected_at_the_shortest_gap)
{
    auto now = Start;
    const auto detector = steady(milliseconds(40), 50, now);
    EXPECT_EQ(detector.suspectAt(std::nullopt), now + stall_settings {}.shortestGap);
}

TEST(stall_detector, slow_stream_and_slow_target_raise_the_limit)
{
    auto now = Start;
    const auto slow = steady(milliseconds(400), 50, now);
    EXPECT_GT(slow.suspectAt(std::nullopt), now + milliseconds(400));
    auto fastNow = Start;
    const auto fast = steady(milliseconds(40), 50, fastNow);
    const target_pace slowed { fastNow, milliseconds(600) };
    EXPECT_GE(fast.suspectAt(slowed), fastNow + milliseconds(600));
}

TEST(stall_detector, first_token_waits_for_the_expected_prefill)
{
    stall_detector detector { stall_settings {} };
    detector.attemptStarted(Start, std::chrono::seconds(3));
    EXPECT_GT(detector.suspectAt(std::nullopt), Start + std::chrono::seconds(3));
}

TEST(stall_detector, streams_that_stop_together_are_no_progress_of_others)
{
    auto now = Start;
    const auto detector = steady(milliseconds(40), 50, now);
    EXPECT_FALSE(detector.otherStreamsProgress(
        target_pace { now + milliseconds(2), milliseconds(40) }, now + milliseconds(200)));
    EXPECT_TRUE(detector.otherStreamsProgress(
        target_pace { now + milliseconds(290), milliseconds(40) }, now + milliseconds(300)));
}

TEST(stall_detector, slow_engine_gets_no_second_attempt)
{
    const latency_first_policy latencyFirst;
    const waiting_policy waiting;
    const resume_policy* const policies[] = { &latencyFirst, &waiting };
    for (const auto* policy : policies) {
        generation_simulation world(*policy, { { life_cycle_step::FirstToken, fault::EngineSlow } });
        world.run();
        EXPECT_TRUE(world.completed());
        EXPECT_EQ(world.starts, 1) << policy->name();
    }
}

RC_GTEST_PROP(stall_detector, suspicion_stays_within_the_limits, ())
{
    const stall_settings settings;
    stall_detector detector { settings };
    auto now = Start;
    detector.attemptStarted(now, milliseconds(10));
    for (int index = *rc::gen::inRange(1, 60); index > 0; --index) {
        now += std::chrono::microseconds(*rc::gen::inRange(0, 3'000'000));
        detector.tokenArrived(now);
    }
    target_pace_tracker paces;
    for (int index = *rc::gen::inRange(0, 20); index > 0; --index)
        paces.recordGap(Target, std::chrono::microseconds(*rc::gen::inRange(0, 3'000'000)), now);
    const auto gap = detector.suspectAt(paces.paceOf(Target)) - now;
    RC_ASSERT(gap >= settings.shortestGap);
    RC_ASSERT(gap <= settings.longestGap);
}
