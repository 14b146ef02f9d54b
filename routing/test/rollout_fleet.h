/// \file
/// Scenarios and checks that the tests of simulated rollouts share.
#pragma once

#include "routing/test/rollout_simulation.h"

#include <gtest/gtest.h>

#include <iostream>

namespace oriolepick {

constexpr std::chrono::milliseconds RollbackBound { 5'000 }; // from the operators' requirements

inline rollout_scenario named(std::string name, std::size_t nodes = 60, std::uint64_t seed = 1)
{
    rollout_scenario scenario;
    scenario.name = std::move(name);
    scenario.nodes = nodes;
    scenario.seed = seed;
    return scenario;
}

inline target_fault failing()
{
    target_fault fault;
    fault.failing = 0.45;
    return fault;
}

inline target_fault slow()
{
    target_fault fault;
    fault.slowness = 5;
    return fault;
}

/// Runs to the deadline, prints the run and checks what holds for every version.
inline void expectDecided(rollout_simulation& fleet, rollout_phase phase)
{
    SCOPED_TRACE(fleet.scenario().name);
    fleet.runToEnd();
    std::cout << fleet.json() << "\n";
    ASSERT_TRUE(fleet.ledger());
    EXPECT_EQ(stateText(fleet.ledger()->phase), std::string(stateText(phase)));
    EXPECT_LE(fleet.decidedAfter(), fleet.scenario().duration);
    EXPECT_FALSE(fleet.exceeded());
    EXPECT_TRUE(fleet.allNodesKnow(phase));
}

inline void expectRolledBack(rollout_simulation& fleet)
{
    expectDecided(fleet, rollout_phase::RolledBack);
    EXPECT_LE(static_cast<double>(fleet.sent()), fleet.allowed()) << fleet.scenario().name;
    EXPECT_LE(fleet.tail(), RollbackBound) << fleet.scenario().name;
}

inline void expectDone(rollout_simulation& fleet)
{
    expectDecided(fleet, rollout_phase::Done);
}

} // namespace oriolepick
