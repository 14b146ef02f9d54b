// Properties over random histories. Guards against missing, repeated or mixed tokens, a second final answer, a wrong
// "not run" and work after the end, for fault times and event orders that no fixed test names.
#include "generation_simulation_impl.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

using namespace oriolepick;

namespace {

const latency_first_policy LatencyFirst;
const waiting_policy Waiting;
const restart_policy Restart;
const duplicate_policy Duplicate;
const resume_policy* const Policies[] = { &LatencyFirst, &Waiting, &Restart, &Duplicate };

const resume_policy& anyPolicy()
{
    return *Policies[*rc::gen::inRange(0, 4)];
}

/// Feeds arbitrary events to one generation and checks each action against a few counters of its own.
class event_checker {
public:
    explicit event_checker(const resume_policy& policy)
        : m_world(policy)
        , m_generation(m_world.request, policy, m_budget, m_paces)
    {
        check(m_generation.start(m_now), {});
    }

    void step()
    {
        m_now += milliseconds(*rc::gen::inRange(0, 400));
        const auto event = anyEvent();
        check(m_generation.handle(event, m_now), event);
        if (m_now >= *m_world.request.deadline)
            RC_ASSERT(m_generation.ended());
    }

    void finish()
    {
        check(m_generation.handle(caller_gone {}, m_now), caller_gone {});
        RC_ASSERT(m_finals == 1);
        RC_ASSERT(m_generation.ended());
    }

private:
    /// \return settings whose budget a random history often uses up
    static retry_budget_settings smallBudget()
    {
        retry_budget_settings settings;
        settings.teamLimit = 4;
        return settings;
    }

    generation_event anyEvent()
    {
        const auto current = m_generation.currentAttempt();
        attempt_id attempt { "node1", static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)) };
        if (*rc::gen::inRange(0, 3) > 0 && !current.origin.empty())
            attempt = current;
        const target_id target(fleet_name("one"), "engine" + std::to_string(*rc::gen::inRange(0, 4)));
        const auto position = *rc::gen::element(m_generation.position(), m_generation.position(),
            m_generation.position() + 1, static_cast<std::uint32_t>(*rc::gen::inRange(0, 6)));
        auto model = m_world.request.model;
        if (*rc::gen::inRange(0, 8) == 0)
            model.version = model_version("4");
        switch (*rc::gen::inRange(0, 14)) {
        case 0:
        case 1:
            return target_chosen { attempt, target, model, milliseconds(100) };
        case 2:
            return no_target { attempt, static_cast<no_target_reason>(*rc::gen::inRange(0, 3)), milliseconds(50) };
        case 3:
            return attempt_rejected { attempt, reject_reason::QueueFull, milliseconds(50) };
        case 4:
            return attempt_done { attempt, finish_reason::Stop, position };
        case 5:
            return attempt_broken { attempt, static_cast<break_reason>(*rc::gen::inRange(0, 5)) };
        case 6:
            return probe_answered { target, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>() };
        case 7:
            return timer_fired {};
        case 8:
            return target_lost { target };
        case 9:
            return attempt_accepted { attempt };
        default:
            return token_arrived { attempt, position,
                token { position * 10 + attempt.ordinal, attempt.text() + "@" + std::to_string(position) } };
        }
    }

    /// Notes which attempts the event confirms or proves as not run.
    void recordProofs(const generation_event& event)
    {
        const auto* accepted = std::get_if<attempt_accepted>(&event);
        const auto* arrived = std::get_if<token_arrived>(&event);
        if (accepted && m_unproven.count(accepted->attempt) > 0)
            m_confirmed.insert(accepted->attempt);
        if (arrived && m_unproven.count(arrived->attempt) > 0)
            m_confirmed.insert(arrived->attempt);
        const auto* rejected = std::get_if<attempt_rejected>(&event);
        const auto* broken = std::get_if<attempt_broken>(&event);
        if (rejected && m_confirmed.count(rejected->attempt) == 0)
            m_unproven.erase(rejected->attempt);
        if (broken && broken->reason == break_reason::Refused && m_confirmed.count(broken->attempt) == 0)
            m_unproven.erase(broken->attempt);
    }

    void check(const generation_actions& actions, const generation_event& event)
    {
        recordProofs(event);
        for (const auto& action : actions) {
            if (const auto* delivered = std::get_if<deliver_token>(&action))
                checkToken(*delivered);
            const auto* started = std::get_if<start_attempt>(&action);
            const bool works = started || std::holds_alternative<attach_attempt>(action)
                || std::holds_alternative<choose_target>(action);
            RC_ASSERT(!works || m_finals == 0);
            if (started) {
                RC_ASSERT(std::get<target_chosen>(event).model == m_world.request.model);
                m_unproven.insert(started->attempt);
            }
            if (const auto* attached = std::get_if<attach_attempt>(&action))
                m_confirmed.insert(attached->attempt);
            const auto* failed = std::get_if<fail>(&action);
            if (failed && !m_unproven.empty())
                RC_ASSERT(errorResponseFor(failed->kind).run == run_state::MayHaveRun);
            const auto* done = std::get_if<attempt_done>(&event);
            if (done && std::holds_alternative<complete>(action))
                RC_ASSERT(done->length == m_next);
            m_finals += failed || std::holds_alternative<complete>(action);
            RC_ASSERT(m_finals <= 1);
        }
    }

    void checkToken(const deliver_token& delivered)
    {
        RC_ASSERT(m_finals == 0);
        RC_ASSERT(delivered.position == m_next++);
        m_digest = extendDigest(m_digest, delivered.value.id);
        RC_ASSERT(delivered.digest == m_digest);
        if (!m_generation.ended())
            RC_ASSERT(delivered.value.text
                == m_generation.currentAttempt().text() + "@" + std::to_string(delivered.position));
    }

    generation_simulation m_world; ///< only for a valid request
    seeded_random m_random { 3 };
    instant m_now { std::chrono::hours(1) };
    retry_budget m_budget { smallBudget(), nullptr, m_random, m_now };
    target_pace_tracker m_paces;
    generation m_generation;
    std::uint32_t m_next = 0;
    std::uint64_t m_digest = 0;
    int m_finals = 0;
    std::set<attempt_id> m_unproven; ///< started, without proof that they did not run
    std::set<attempt_id> m_confirmed; ///< known to their target, so no later answer proves that they did not run
};

} // namespace

RC_GTEST_PROP(generation_properties, faults_at_random_times_keep_every_invariant, ())
{
    generation_simulation world(anyPolicy());
    const bool noisy = *rc::gen::arbitrary<bool>();
    for (std::size_t index = 0; index < world.engines.size(); ++index) {
        world.engines[index].pace = milliseconds(*rc::gen::inRange(5, 300));
        world.engines[index].outputSeed = noisy ? index : 0;
    }
    const int faults = *rc::gen::inRange(0, 6);
    for (int index = 0; index < faults; ++index)
        world.applyAt(milliseconds(*rc::gen::inRange(0, 1500)), static_cast<fault>(*rc::gen::inRange(0, FaultCount)));
    world.run();
    if (!world.violations.empty())
        RC_FAIL(world.violations.front());
}

RC_GTEST_PROP(generation_properties, late_tokens_of_paused_engines_are_ignored, ())
{
    generation_simulation world(*Policies[*rc::gen::inRange(0, 2)]);
    const int pauses = *rc::gen::inRange(1, 4);
    for (int index = 0; index < pauses; ++index)
        world.applyAt(milliseconds(*rc::gen::inRange(0, 1200)), fault::EnginePause);
    world.run();
    RC_ASSERT(world.violations.empty());
    RC_ASSERT(world.completed());
}

RC_GTEST_PROP(generation_properties, arbitrary_events_in_any_order_are_harmless, ())
{
    event_checker checker(anyPolicy());
    const int steps = *rc::gen::inRange(0, 80);
    for (int index = 0; index < steps; ++index)
        checker.step();
    checker.finish();
}
