// Guards against older configurations and leaving targets in use when nodes start before what a restored
// store has lost is written again.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

// A seed node reads the store at its start, before the operator has written the configuration again.
TEST(RestoredStoreAndLostNodes, NodesThatStartDelayNoChange)
{
    runFleets(
        [](news_simulation& fleet) {
            restoreAndDisturb(fleet, { trouble::Kill });
            const auto restore = randomRestore(fleet, 14s, 16s);
            restoreStore(fleet, restore);
            const auto seed = fleet.random().below(3);
            fleet.at(restore.at - 500ms, [&fleet, seed] { fleet.killNode(seed); });
            fleet.at(restore.returnsAt() + randomTime(fleet, 0ms, 400ms), [&fleet, seed] {
                if (!fleet.nodes()[seed].running)
                    fleet.startNode(seed);
            });
        },
        nullptr, RestoredFleetSizes);
}

// All seed nodes and some others start, one after another, long before the operator writes the configuration again.
TEST(RestoredStoreAndLostNodes, NodesThatStartTakeTheLostConfigurationFromOthers)
{
    runFleets(
        [](news_simulation& fleet) {
            for (auto at = 0ms; at < 3s; at += 500ms)
                fleet.at(at, [&fleet] { fleet.changeConfiguration(); });
            const auto restore = store_restore { 3s + fleet.settings().bound, 4s + fleet.settings().bound, 500ms };
            restoreStore(fleet, restore);
            for (std::size_t index = 0; index < fleet.nodes().size() && index < 12; index += index < 3 ? 1 : 3) {
                const auto startsAt = restore.returnsAt() + 100ms + 700ms * index;
                fleet.at(startsAt - 200ms, [&fleet, index] { fleet.killNode(index); });
                fleet.at(startsAt, [&fleet, index] { fleet.startNode(index); });
            }
        },
        [](news_simulation_settings& settings) {
            settings.earliestRewrite = 20s;
            settings.latestRewrite = 21s;
        },
        RestoredFleetSizes);
}

} // namespace
