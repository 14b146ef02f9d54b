// Guards against permits that are spent twice, requests to a bad version after the bound, and orders that are not
// decided, while deciders die, freeze and are cut off, nodes restart and the store is down or loses responses.
// Tried changes of the code that must fail here: a decider that takes the ledger of another one for its own fails 9 of
// the 10 cases, requests without permits fail all, and both here and in rollout_simulation permits that do not heed the
// reservation fail. Without the rule about canaries, rollout_simulation and version_comparison fail.
#include "routing/test/rollout_fleet.h"

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

using ms = std::chrono::milliseconds;
using disturb = void (*)(rollout_simulation& fleet);

struct fault_case {
    const char* name;
    disturb start; ///< called at the order
    double lostAnswers = 0;
};

void repeatOnDecider(rollout_simulation& fleet, ms period, int times, void (*event)(rollout_simulation&, std::size_t))
{
    for (int number = 1; number <= times; ++number)
        fleet.at(period * number, [&fleet, event] { event(fleet, fleet.decider()); });
}

void cutOff(rollout_simulation& fleet, std::size_t index, ms time)
{
    fleet.setGroup(index, static_cast<int>(index) + 1);
    fleet.at(time, [&fleet, index] { fleet.setGroup(index, 0); });
}

const fault_case Faults[] = {
    { "deciders die",
        [](rollout_simulation& fleet) {
            repeatOnDecider(fleet, 1'500ms, 3, [](rollout_simulation& all, std::size_t index) { all.kill(index); });
        } },
    { "deciders restart",
        [](rollout_simulation& fleet) {
            repeatOnDecider(fleet, 1'500ms, 4, [](rollout_simulation& all, std::size_t index) {
                all.kill(index);
                all.at(200ms, [&all, index] { all.start(index); });
            });
        } },
    { "deciders freeze",
        [](rollout_simulation& fleet) {
            repeatOnDecider(fleet, 2s, 4, [](rollout_simulation& all, std::size_t index) { all.freeze(index, 4s); });
        } },
    { "deciders cut off",
        [](rollout_simulation& fleet) {
            repeatOnDecider(
                fleet, 1'500ms, 3, [](rollout_simulation& all, std::size_t index) { cutOff(all, index, 6s); });
        } },
    { "deciders lose the store",
        [](rollout_simulation& fleet) {
            repeatOnDecider(
                fleet, 1'500ms, 2, [](rollout_simulation& all, std::size_t index) { all.setStore(index, false); });
        } },
    { "halves separated",
        [](rollout_simulation& fleet) {
            const auto nodes = fleet.scenario().nodes;
            fleet.at(1s, [&fleet, nodes] {
                for (std::size_t index = 0; index < nodes / 2; ++index)
                    cutOff(fleet, index, 10s);
                for (std::size_t index = 0; index < nodes / 2; ++index)
                    fleet.setGroup(index, 1);
            });
        } },
    { "all nodes restart in turn",
        [](rollout_simulation& fleet) {
            const auto nodes = fleet.scenario().nodes;
            for (std::size_t index = 0; index < nodes; ++index) {
                fleet.at(10'000ms * static_cast<ms::rep>(index) / static_cast<ms::rep>(nodes), [&fleet, index] {
                    fleet.kill(index);
                    fleet.at(300ms, [&fleet, index] { fleet.start(index); });
                });
            }
        } },
    { "store down",
        [](rollout_simulation& fleet) {
            fleet.at(1s, [&fleet] { fleet.setStoreForAll(false); });
            fleet.at(8s, [&fleet] { fleet.setStoreForAll(true); });
        } },
    { "store down at the order",
        [](rollout_simulation& fleet) {
            fleet.setStoreForAll(false);
            fleet.at(7s, [&fleet] { fleet.setStoreForAll(true); });
        } },
    { "responses of the store lost", [](rollout_simulation&) {}, 0.4 },
};

class RolloutFaults : public testing::TestWithParam<fault_case> {
protected:
    void check(std::size_t nodes, bool bad, std::uint64_t seed)
    {
        auto scenario = named(std::string(GetParam().name) + (bad ? ", bad" : ", sound"), nodes, seed);
        scenario.lostAnswers = GetParam().lostAnswers;
        if (bad)
            scenario.fault = failing();
        rollout_simulation fleet(scenario);
        GetParam().start(fleet);
        if (bad)
            expectRolledBack(fleet);
        else
            expectDone(fleet);
    }
};

TEST_P(RolloutFaults, DecidedWithinTheLimits)
{
    for (const std::size_t nodes : { 6, 60 }) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            check(nodes, true, seed);
            check(nodes, false, seed);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, RolloutFaults, testing::ValuesIn(Faults));

} // namespace
