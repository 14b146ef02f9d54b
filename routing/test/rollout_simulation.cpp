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
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
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

INSTANTIATE_TEST_SUITE_P(Nodes, RolloutFleet, testing::Values(6, 60, 300));

} // namespace
