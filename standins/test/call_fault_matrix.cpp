// Guards non-idempotent and repeatable calls against each fault at each step, alone and in pairs: at most one run, no
// false "not run", one response each, and the same response to a retry.
#include "call_world.h"
#include "core/idempotent_call.h"

#include <gtest/gtest.h>

#include <iostream>

using namespace oriolepick;

namespace {

/// A fault at the given occurrence of a step.
struct cell {
    call_step step;
    int occurrence;
    call_fault fault;
};

std::vector<cell> allCells()
{
    std::vector<cell> cells;
    const auto add = [&cells](call_step step, int occurrence, std::initializer_list<call_fault> faults) {
        for (const auto fault : faults)
            cells.push_back({ step, occurrence, fault });
    };
    using fault = call_fault;
    for (const int occurrence : { 1, 2 }) {
        add(call_step::Commit, occurrence,
            { fault::TableDown, fault::TableLost, fault::TableHeld, fault::Slow, fault::Pause, fault::Crash });
        add(call_step::Read, occurrence, { fault::TableDown, fault::Slow, fault::Pause, fault::Crash });
    }
    add(call_step::Place, 1, { fault::Refused, fault::Slow, fault::Pause, fault::Crash });
    add(call_step::Send, 1,
        { fault::Refused, fault::ResetBeforeBody, fault::ResetAfterBody, fault::RunsLate, fault::Slow, fault::Pause,
            fault::Crash });
    add(call_step::Answer, 1, { fault::ResetAfterBody, fault::Slow, fault::Pause, fault::Crash });
    add(call_step::Ask, 1, { fault::MessageLost });
    add(call_step::Tell, 1, { fault::MessageLost });
    return cells;
}

using scenario = std::function<void(call_world&)>;

std::vector<scenario> scenarios()
{
    return {
        [](call_world& world) { world.send(milliseconds(0), "k", 0); },
        [](call_world& world) {
            world.send(milliseconds(0), "k", 0);
            world.send(milliseconds(20), "k", 1);
        },
        [](call_world& world) {
            world.send(milliseconds(0), "k", 0);
            world.send(milliseconds(1), "k", 1, 1, true);
            world.send(milliseconds(2), "k", 0);
        },
        [](call_world& world) {
            world.send(milliseconds(0), "k", 0, 1, true);
            world.send(milliseconds(1500), "k", 1);
            world.send(milliseconds(5000), "k", 0);
        },
        [](call_world& world) {
            world.send(milliseconds(0), "k", 0);
            world.send(milliseconds(30), "k", 1, 2);
        },
        [](call_world& world) { world.send(milliseconds(0), "k", 0, 1, false, false); },
    };
}

/// Retries on both nodes after all faults; \return what is wrong
std::vector<std::string> retryViolations(call_world& world)
{
    const auto before = world.requests.size();
    std::optional<call_answer> earlier;
    for (const auto& each : world.requests) {
        if (each.digest == 1 && !each.replies.empty() && each.replies[0])
            earlier = each.replies[0].value();
    }
    const bool callerKey = world.requests[0].callerKey;
    for (std::size_t node = 0; callerKey && node < 2; ++node)
        world.send(milliseconds(70'000 + node * 9000), "k", node);
    world.runUntil(milliseconds(120'000));
    auto found = world.violations();
    for (std::size_t index = before; earlier && index < world.requests.size(); ++index) {
        const auto& reply = world.requests[index].replies.at(0);
        const bool same = reply && reply.value() == *earlier;
        const bool unknown = !reply && errorResponseFor(reply.error().kind).run == run_state::MayHaveRun;
        if (!same && !(unknown && world.anyCrash()))
            found.push_back("a retry got another response");
    }
    return found;
}

std::size_t runCell(const std::vector<cell>& faults, const scenario& given)
{
    std::array<int, static_cast<std::size_t>(call_step::Count)> seen {};
    call_world world(2, 7, [&faults, &seen](call_step step) {
        const auto occurrence = ++seen[static_cast<std::size_t>(step)];
        for (const auto& each : faults) {
            if (each.step == step && each.occurrence == occurrence)
                return each.fault;
        }
        return call_fault::None;
    });
    given(world);
    world.runUntil(milliseconds(60'000));
    world.clearFaults();
    auto found = retryViolations(world);
    if (world.openCalls())
        found.emplace_back("a call stays open");
    for (const auto& each : found) {
        for (const auto& fault : faults)
            ADD_FAILURE() << each << ": fault " << static_cast<int>(fault.fault) << " at step "
                          << static_cast<int>(fault.step) << " #" << fault.occurrence;
    }
    return found.size();
}

/// What becomes of one attempt of a repeatable call.
enum class attempt_fault { Answers, Unsent, ResetBeforeRun, ResetAfterRun, Hangs, NoTarget, NoTargetLate, Count };

/// \return violations of one repeatable call whose attempts meet \p faults in turn
std::size_t runRepeatable(const std::vector<attempt_fault>& faults, bool retryAllowed)
{
    const instant deadline(milliseconds(1000));
    idempotent_call call(deadline, 3, milliseconds(100));
    std::size_t attempt = 0, runs = 0, replies = 0, violations = 0;
    auto actions = call.start();
    for (int step = 0; step < 20 && !call.finished(); ++step) {
        const auto fault = attempt < faults.size() ? faults[attempt] : attempt_fault::Answers;
        if (std::holds_alternative<choose_idempotent_call_target>(actions.at(0))) {
            if (fault == attempt_fault::NoTarget)
                actions = call.noTarget(milliseconds(50));
            else if (fault == attempt_fault::NoTargetLate)
                actions = call.targetChosen(deadline, target_id(fleet_name("refill"), "late"));
            else
                actions = call.targetChosen(instant {}, target_id(fleet_name("refill"), std::to_string(attempt)));
        } else {
            const auto ordinal = std::get<send_idempotent_attempt>(actions.at(0)).ordinal;
            ++attempt;
            runs += fault == attempt_fault::ResetAfterRun || fault == attempt_fault::Answers ? 1 : 0;
            if (fault == attempt_fault::Unsent)
                actions = call.attemptNotSent(ordinal);
            else if (fault == attempt_fault::Answers)
                actions = call.attemptAnswered(ordinal, { 200, "text/plain", "done" });
            else if (fault == attempt_fault::Hangs)
                actions = call.timerFired(deadline);
            else
                actions = call.attemptBroken(ordinal, retryAllowed);
            violations += call.attemptAnswered(ordinal, {}).empty() ? 0 : 1; // a late answer of the same attempt
        }
        for (const auto& action : actions) {
            if (const auto* answer = std::get_if<complete_idempotent_call>(&action)) {
                ++replies;
                const bool notRun
                    = !answer->reply && errorResponseFor(answer->reply.error().kind).run == run_state::NotRun;
                violations += notRun && runs ? 1 : 0;
            }
        }
    }
    return violations + (replies == 1 ? 0 : 1);
}

} // namespace

TEST(call_fault_matrix, non_idempotent_calls)
{
    const auto cells = allCells();
    const auto given = scenarios();
    std::size_t run = 0, violations = 0;
    for (const auto& each : given) {
        for (std::size_t first = 0; first < cells.size(); ++first) {
            violations += runCell({ cells[first] }, each);
            ++run;
            for (std::size_t second = first + 1; second < cells.size(); ++second) {
                violations += runCell({ cells[first], cells[second] }, each);
                ++run;
            }
        }
    }
    std::cout << "non-idempotent: " << run << " cells, " << violations << " violations\n";
    EXPECT_EQ(violations, 0u);
}

TEST(call_fault_matrix, repeatable_calls)
{
    std::size_t run = 0, violations = 0;
    for (int first = 0; first < static_cast<int>(attempt_fault::Count); ++first) {
        for (int second = 0; second < static_cast<int>(attempt_fault::Count); ++second) {
            for (const bool retryAllowed : { false, true }) {
                const std::vector<attempt_fault> faults { static_cast<attempt_fault>(first),
                    static_cast<attempt_fault>(second) };
                violations += runRepeatable(faults, retryAllowed);
                ++run;
            }
        }
    }
    std::cout << "repeatable: " << run << " cells, " << violations << " violations\n";
    EXPECT_EQ(violations, 0u);
}

TEST(call_fault_matrix, a_repeatable_call_stays_within_its_attempts_and_the_retry_budget)
{
    for (const bool retryAllowed : { false, true }) {
        idempotent_call call(instant(milliseconds(1000)), 3, milliseconds(100));
        std::size_t sent = 0;
        for (auto actions = call.start(); !call.finished() && sent < 10;) {
            actions = call.targetChosen(instant {}, target_id(fleet_name("refill"), std::to_string(sent)));
            actions = call.attemptBroken(std::get<send_idempotent_attempt>(actions.at(0)).ordinal, retryAllowed);
            ++sent;
        }
        EXPECT_EQ(sent, retryAllowed ? 3u : 1u);
    }
}
