// Guards the strategies: what each does about a stall, and that a baseline cannot be named by a ticket.
#include "core/resume_policy.h"
#include "generation_simulation_impl.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

const latency_first_policy LatencyFirst;
const waiting_policy Waiting;

stall_observation stallOf(milliseconds timeSinceProgress)
{
    stall_observation stall;
    stall.timeSinceProgress = timeSinceProgress;
    return stall;
}

} // namespace

TEST(latency_first_policy, probes_then_hedges_without_waiting_for_an_answer)
{
    auto stall = stallOf(milliseconds(260));
    EXPECT_EQ(LatencyFirst.decide(stall).action, stall_action::Probe);
    EXPECT_LE(LatencyFirst.decide(stall).recheckAfter, milliseconds(50));
    stall.probed = true;
    EXPECT_EQ(LatencyFirst.decide(stall).action, stall_action::Hedge);
    stall.probeAlive = true;
    EXPECT_EQ(LatencyFirst.decide(stall).action, stall_action::Wait);
    stall.timeSinceProgress = milliseconds(1600);
    EXPECT_EQ(LatencyFirst.decide(stall).action, stall_action::Hedge);
}

TEST(latency_first_policy, loss_report_hedges_at_once)
{
    auto stall = stallOf(milliseconds(90));
    stall.reportedLost = true;
    EXPECT_EQ(LatencyFirst.decide(stall).action, stall_action::Hedge);
}

TEST(waiting_policy, abandons_only_after_two_unanswered_probes)
{
    auto stall = stallOf(milliseconds(600));
    EXPECT_EQ(Waiting.decide(stall).action, stall_action::Probe);
    stall.probed = true;
    stall.failedProbes = 1;
    EXPECT_EQ(Waiting.decide(stall).action, stall_action::Probe);
    stall.failedProbes = 2;
    EXPECT_EQ(Waiting.decide(stall).action, stall_action::Abandon);
}

TEST(waiting_policy, waits_for_a_live_or_busy_target)
{
    auto stall = stallOf(milliseconds(3000));
    stall.otherStreamsProgress = true;
    EXPECT_EQ(Waiting.decide(stall).action, stall_action::Wait);
    stall.otherStreamsProgress = false;
    stall.probeAlive = true;
    EXPECT_EQ(Waiting.decide(stall).action, stall_action::Wait);
}

TEST(resume_policy, paused_engine_is_hedged_by_one_policy_and_left_by_the_other)
{
    generation_simulation hedged(LatencyFirst, { { life_cycle_step::MidToken, fault::EnginePause } });
    hedged.run();
    EXPECT_TRUE(hedged.completed());
    EXPECT_EQ(hedged.counters[static_cast<std::size_t>(generation_counter::HedgeWon)], 1);
    generation_simulation left(Waiting, { { life_cycle_step::MidToken, fault::EnginePause } });
    left.run();
    EXPECT_TRUE(left.completed());
    EXPECT_EQ(left.counters[static_cast<std::size_t>(generation_counter::Hedge)], 0);
}

TEST(resume_policy, tickets_name_no_baseline)
{
    EXPECT_EQ(makeResumePolicy("latency_first")->name(), "latency_first");
    EXPECT_EQ(makeResumePolicy("waiting")->name(), "waiting");
    for (const auto* name : { "restart", "fixed_timeout", "duplicate", "" })
        EXPECT_EQ(makeResumePolicy(name), nullptr) << name;
}
