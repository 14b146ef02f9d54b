// Guards against a bad version that receives more requests than allowed or is not rolled back, a sound one that is, and
// an order that is not decided by its deadline; with faults of the nodes, their network and the store. Each run prints
// one line.
#include "routing/test/rollout_fleet.h"

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class RolloutFleet : public testing::TestWithParam<std::size_t> { };

TEST_P(RolloutFleet, BadVersionsAreRolledBack)
{
    const std::pair<const char*, target_fault> faults[]
        = { { "bad at once", failing() }, { "bad after 6 s", { 0.45, 1, 6s, -1, 0 } },
              { "bad on one route", { 0.45, 1, 0ms, 2, 0 } }, { "bad under load", { 0.45, 1, 0ms, -1, 2 } },
              { "slow", slow() }, { "slow on one route", { 0, 5, 0ms, 1, 0 } } };
    for (const auto& [name, fault] : faults) {
        auto scenario = named(name, GetParam());
        scenario.fault = fault;
        rollout_simulation fleet(scenario);
        expectRolledBack(fleet);
    }
}

TEST_P(RolloutFleet, SoundVersionsAreDone)
{
    for (std::uint64_t seed = 1; seed <= (GetParam() > 100 ? 1U : 3U); ++seed) {
        auto calm = named("sound", GetParam(), seed);
        rollout_simulation fleet(calm);
        expectDone(fleet);
        auto failingFifth = named("sound, a fifth fails", GetParam(), seed);
        failingFifth.disturbance = failing();
        rollout_simulation second(failingFifth);
        expectDone(second);
        auto disturbed = named("sound, a fifth slow, crashes, bursts, losses", GetParam(), seed);
        disturbed.disturbance = slow();
        disturbed.zonesCrash = true;
        disturbed.bursts = 2.6;
        disturbed.loss = 0.1;
        rollout_simulation third(disturbed);
        expectDone(third);
    }
}

// One request a second, and as many as the largest fleet has. A bad version that fails less is not always recognized at
// one request a second: 10 responses do not suffice.
TEST(RolloutRates, VersionsAreJudgedAtAnyRate)
{
    for (const double rate : { 1, 7'000 }) {
        auto scenario = named("rate " + std::to_string(static_cast<int>(rate)));
        scenario.rate = rate;
        scenario.duration = rate > 1'000 ? 10s : 30s;
        rollout_simulation sound(scenario);
        expectDone(sound);
        scenario.name += ", bad";
        scenario.fault.failing = rate > 1'000 ? 0.45 : 1;
        rollout_simulation bad(scenario);
        expectRolledBack(bad);
    }
}

TEST(RolloutRates, AServiceWithoutRequestsIsDone)
{
    auto scenario = named("no requests");
    scenario.rate = 0;
    rollout_simulation fleet(scenario);
    expectDone(fleet);
    EXPECT_EQ(fleet.sent(), 0U);
}

TEST(RolloutRates, PlainServiceOfThreeTargets)
{
    auto scenario = named("plain", 81);
    scenario.rate = 250;
    scenario.targets = 3;
    scenario.responseTime = 30ms;
    scenario.runTime = 0ms;
    rollout_simulation sound(scenario);
    expectDone(sound);
    for (const auto& fault : { failing(), slow() }) {
        scenario.name = fault.failing > 0 ? "plain, bad" : "plain, slow";
        scenario.fault = fault;
        rollout_simulation bad(scenario);
        expectRolledBack(bad);
    }
}

TEST(RolloutOrders, AWithdrawnOrderEndsAsRolledBack)
{
    rollout_simulation fleet(named("withdrawn"));
    fleet.run(4s);
    fleet.removeOrder();
    const auto sent = fleet.sent();
    expectRolledBack(fleet);
    EXPECT_EQ(fleet.sent(), sent);
}

// A fault that begins under the whole load exceeds the exposure, but must still end the rollout.
TEST(RolloutOrders, AVersionThatTurnsBadWhileShiftingIsRolledBack)
{
    auto scenario = named("bad after 14 s");
    scenario.fault = failing();
    scenario.fault.after = 14s;
    rollout_simulation fleet(scenario);
    expectDecided(fleet, rollout_phase::RolledBack);
    EXPECT_LE(fleet.tail(), RollbackBound);
}

INSTANTIATE_TEST_SUITE_P(Nodes, RolloutFleet, testing::Values(6, 60, 300));

} // namespace
