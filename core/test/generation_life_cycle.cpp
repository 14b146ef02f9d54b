// Checks the life cycle of a generation: streams without faults, interruptions, final errors and cancels.
#include "generation_simulation_impl.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

const latency_first_policy LatencyFirst;
const waiting_policy Waiting;

template <typename Action> int countOf(const generation_actions& actions)
{
    return static_cast<int>(std::count_if(
        actions.begin(), actions.end(), [](const auto& action) { return std::holds_alternative<Action>(action); }));
}

const fail* failureIn(const generation_actions& actions)
{
    for (const auto& action : actions) {
        if (const auto* failed = std::get_if<fail>(&action))
            return failed;
    }
    return nullptr;
}

/// Passes events to a generation one by one.
struct direct_generation {
    explicit direct_generation(const resume_policy& policy = LatencyFirst, std::uint32_t maxTokens = 100)
        : world(policy)
        , machine(limited(maxTokens), policy, budget, paces)
    {
    }

    direct_generation(const resume_point& resume, const resume_policy& policy)
        : world(policy)
        , machine(resumed(resume), policy, budget, paces)
    {
    }

    generation_request resumed(const resume_point& resume)
    {
        world.request.resume = resume;
        return world.request;
    }

    generation_request limited(std::uint32_t maxTokens)
    {
        world.request.maxTokens = maxTokens;
        return world.request;
    }

    generation_actions on(const generation_event& event) { return machine.handle(event, now); }

    /// Starts the first attempt and delivers its first token.
    void stream()
    {
        machine.start(now);
        on(target_chosen { first, target, world.request.model, milliseconds(10) });
        on(attempt_accepted { first });
        on(token_arrived { first, 0, token { 1, "a" } });
    }

    /// Lets the target be silent until the policy has placed a second attempt.
    void fallSilent()
    {
        for (int round = 0; round < 20; ++round) {
            now += milliseconds(100);
            on(timer_fired {});
        }
    }

    generation_simulation world; ///< only provides a valid request
    seeded_random random { 1 };
    instant now { std::chrono::hours(1) };
    retry_budget budget { {}, nullptr, random, now };
    target_pace_tracker paces;
    const attempt_id first { "node1", 1 };
    const target_id target { fleet_name("one"), "engine0" };
    generation machine;
};

} // namespace

TEST(generation, streams_to_the_end_without_extra_work)
{
    generation_simulation world(LatencyFirst);
    world.run();
    EXPECT_TRUE(world.violations.empty()) << world.violations.front();
    EXPECT_TRUE(world.completed());
    EXPECT_EQ(world.starts, 1);
    EXPECT_EQ(world.current->extraTokens(), 0u);
    EXPECT_EQ(world.current->state(), generation_state::Finished);
}

TEST(generation, continues_elsewhere_after_a_crash)
{
    for (const resume_policy* policy :
        { static_cast<const resume_policy*>(&LatencyFirst), static_cast<const resume_policy*>(&Waiting) }) {
        generation_simulation world(*policy, { { life_cycle_step::MidToken, fault::EngineCrash } });
        world.run();
        EXPECT_TRUE(world.violations.empty()) << world.violations.front();
        EXPECT_TRUE(world.completed()) << policy->name();
        EXPECT_EQ(world.starts, 2) << policy->name();
    }
}

TEST(generation, lost_connection_causes_no_extra_work_while_the_engine_lives)
{
    generation_simulation world(Waiting, { { life_cycle_step::MidToken, fault::LostConnection } });
    world.run();
    EXPECT_TRUE(world.completed());
    EXPECT_EQ(world.starts, 1);
    EXPECT_EQ(world.current->extraTokens(), 0u);
}

TEST(generation, ends_by_itself_at_max_tokens)
{
    direct_generation direct(LatencyFirst, 2);
    direct.stream();
    const auto actions = direct.on(token_arrived { direct.first, 1, token { 2, "b" } });
    EXPECT_EQ(countOf<complete>(actions), 1);
    const auto late = direct.on(token_arrived { direct.first, 2, token { 3, "c" } });
    EXPECT_EQ(countOf<deliver_token>(late), 0);
    EXPECT_EQ(countOf<cancel_attempt>(late), 1); // the engine ignored its limit
}

TEST(generation, rejections_before_any_dispatch_report_not_run)
{
    direct_generation direct;
    direct.machine.start(direct.now);
    generation_actions actions;
    for (std::uint32_t ordinal = 1; !direct.machine.ended(); ++ordinal) {
        const attempt_id attempt { "node1", ordinal };
        direct.now += std::chrono::seconds(1);
        direct.on(timer_fired {});
        direct.on(target_chosen { attempt, direct.target, direct.world.request.model, {} });
        actions = direct.on(attempt_rejected { attempt, reject_reason::QueueFull, milliseconds(700) });
        ASSERT_LT(ordinal, 20u);
    }
    EXPECT_EQ(failureIn(actions)->kind, error_kind::Overloaded);
    EXPECT_EQ(failureIn(actions)->retryAfter, milliseconds(700));
    EXPECT_EQ(direct.machine.state(), generation_state::Refused);
}

TEST(generation, without_a_target_fails_at_once)
{
    direct_generation direct;
    direct.machine.start(direct.now);
    const auto actions = direct.on(no_target { direct.first, no_target_reason::NoneAvailable, milliseconds(300) });
    EXPECT_EQ(failureIn(actions)->kind, error_kind::NoTarget);
    EXPECT_EQ(failureIn(actions)->retryAfter, milliseconds(300));
}

TEST(generation, superseded_reader_stops_and_leaves_the_attempt_to_the_other)
{
    direct_generation direct;
    direct.stream();
    const auto actions = direct.on(attempt_broken { direct.first, break_reason::Superseded });
    EXPECT_EQ(countOf<cancel_attempt>(actions), 0);
    EXPECT_EQ(countOf<fail>(actions), 1);
    EXPECT_EQ(direct.machine.state(), generation_state::HandedOver);
}

TEST(generation, hand_over_leaves_the_attempt_attachable)
{
    direct_generation direct;
    direct.stream();
    EXPECT_EQ(countOf<fail>(direct.on(drain_requested { milliseconds(100) })), 0);
    direct.now += milliseconds(100);
    const auto actions = direct.on(timer_fired {});
    EXPECT_EQ(countOf<cancel_attempt>(actions), 0);
    EXPECT_EQ(errorResponseFor(failureIn(actions)->kind).run, run_state::MayHaveRun);
    EXPECT_TRUE(errorResponseFor(failureIn(actions)->kind).retryable);
}

TEST(generation, drain_before_the_start_refuses)
{
    direct_generation direct;
    direct.on(drain_requested {});
    EXPECT_EQ(failureIn(direct.machine.start(direct.now))->kind, error_kind::NodeDraining);
}

TEST(generation, one_request_loses_at_most_three_targets)
{
    generation_simulation world(LatencyFirst, {}, 8);
    for (int index = 0; index < 7; ++index)
        world.applyAt(milliseconds(130 + 200 * index), fault::EngineCrash);
    world.run();
    const auto dead
        = std::count_if(world.engines.begin(), world.engines.end(), [](auto& engine) { return engine.dead; });
    EXPECT_TRUE(world.violations.empty()) << world.violations.front();
    ASSERT_NE(world.failure(), nullptr);
    EXPECT_EQ(world.failure()->kind, error_kind::TargetFailed);
    EXPECT_EQ(world.starts, 3);
    EXPECT_GE(dead, 3);
}

TEST(generation, late_token_of_an_old_attempt_is_dropped_and_cancelled_again)
{
    direct_generation direct;
    direct.stream();
    direct.on(attempt_broken { direct.first, break_reason::Refused });
    const auto actions = direct.on(token_arrived { direct.first, 1, token { 2, "b" } });
    EXPECT_EQ(countOf<deliver_token>(actions), 0);
    EXPECT_EQ(countOf<cancel_attempt>(actions), 1);
    EXPECT_EQ(direct.machine.usage().extraOutput, 1u);
}

TEST(generation, received_tokens_that_do_not_match_the_cursor_are_not_continued)
{
    const resume_point resume { { "node0", 1 }, target_id(fleet_name("one"), "engine0"), 2, digestOf({ 1, 2 }),
        token_list { 1, 3 } };
    direct_generation direct(resume, LatencyFirst);
    direct.machine.start(direct.now);
    EXPECT_EQ(direct.machine.deliveredTokens(), nullptr);
    direct.on(attempt_broken { resume.attempt, break_reason::UnknownAttempt });
    direct.now += milliseconds(100);
    direct.on(timer_fired {});
    const auto actions = direct.on(target_chosen { direct.first, direct.target, direct.world.request.model, {} });
    ASSERT_EQ(countOf<start_attempt>(actions), 1);
    EXPECT_TRUE(std::get<start_attempt>(actions.front()).prefix.empty());
}

TEST(generation, hedge_does_not_start_on_the_suspected_target)
{
    direct_generation direct;
    direct.stream();
    direct.fallSilent();
    const attempt_id hedge { "node1", 2 };
    const auto again = direct.on(target_chosen { hedge, direct.target, direct.world.request.model, {} });
    EXPECT_EQ(countOf<start_attempt>(again), 0);
    EXPECT_EQ(countOf<choose_target>(again), 1);
    const target_id other(fleet_name("one"), "engine1");
    EXPECT_EQ(countOf<start_attempt>(direct.on(target_chosen { hedge, other, direct.world.request.model, {} })), 1);
}

// Guards against targets that are given up or reported as crashed because this node could not send its probes.
TEST(generation, probes_that_were_not_sent_condemn_no_target)
{
    for (const resume_policy* policy :
        { static_cast<const resume_policy*>(&LatencyFirst), static_cast<const resume_policy*>(&Waiting) }) {
        direct_generation direct(*policy);
        direct.stream();
        int probes = 0;
        for (int round = 0; round < 100; ++round) {
            direct.now += milliseconds(20);
            const auto actions = direct.on(timer_fired {});
            EXPECT_EQ(countOf<choose_target>(actions), 0) << policy->name() << " round " << round;
            EXPECT_EQ(countOf<cancel_attempt>(actions), 0) << policy->name() << " round " << round;
            if (!countOf<probe_target>(actions))
                continue;
            ++probes;
            const auto after = direct.on(probe_answered { direct.target, false, false, true });
            EXPECT_EQ(countOf<choose_target>(after), 0) << policy->name() << " round " << round;
        }
        EXPECT_GT(probes, 1) << policy->name();
        // A probe that was sent still counts.
        int given = 0;
        for (int round = 0; round < 200 && !given; ++round) {
            direct.now += milliseconds(20);
            const auto actions = direct.on(timer_fired {});
            given += countOf<choose_target>(actions);
            if (countOf<probe_target>(actions))
                given += countOf<choose_target>(direct.on(probe_answered { direct.target, false, false }));
        }
        EXPECT_EQ(given, 1) << policy->name();
    }
}

TEST(generation, an_unsent_probe_of_a_second_attempt_reports_no_crash)
{
    for (const bool notSent : { true, false }) {
        direct_generation direct;
        direct.stream();
        direct.fallSilent();
        const attempt_id hedge { "node1", 2 };
        const target_id other(fleet_name("one"), "engine1");
        direct.on(target_chosen { hedge, other, direct.world.request.model, {} });
        direct.on(attempt_accepted { hedge });
        EXPECT_EQ(countOf<probe_target>(direct.on(attempt_broken { hedge, break_reason::Reset })), 1);
        const auto actions = direct.on(probe_answered { other, false, false, notSent });
        EXPECT_EQ(countOf<report_crash>(actions), notSent ? 0 : 1);
    }
}

TEST(generation, attaches_without_progress_are_limited)
{
    direct_generation direct;
    direct.stream();
    int attaches = 0;
    for (int round = 0; round < 5; ++round)
        attaches += countOf<attach_attempt>(direct.on(attempt_broken { direct.first, break_reason::Truncated }));
    EXPECT_EQ(attaches, 2);
    EXPECT_NE(direct.machine.currentAttempt(), direct.first);
}

TEST(generation, version_that_is_gone_loses_the_stream_at_once)
{
    direct_generation direct;
    direct.stream();
    direct.on(attempt_broken { direct.first, break_reason::Refused });
    direct.now += milliseconds(100);
    direct.on(timer_fired {});
    const auto actions = direct.on(no_target { { "node1", 2 }, no_target_reason::VersionGone, {} });
    ASSERT_NE(failureIn(actions), nullptr);
    EXPECT_EQ(failureIn(actions)->kind, error_kind::GenerationLost);
}

TEST(generation, rejections_after_a_dispatch_report_may_have_run)
{
    direct_generation direct;
    direct.stream();
    auto actions = direct.on(attempt_broken { direct.first, break_reason::Refused });
    for (std::uint32_t ordinal = 2; !direct.machine.ended(); ++ordinal) {
        const attempt_id attempt { "node1", ordinal };
        direct.now += milliseconds(100);
        direct.on(timer_fired {});
        direct.on(target_chosen { attempt, direct.target, direct.world.request.model, {} });
        actions = direct.on(attempt_rejected { attempt, reject_reason::QueueFull, {} });
        ASSERT_LT(ordinal, 20u);
    }
    EXPECT_EQ(failureIn(actions)->kind, error_kind::TargetFailed);
}
