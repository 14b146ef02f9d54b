// Guards against a restore that makes all nodes read the store.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

// Of nodes that try to read in turn, few read a store that responds, and a whole table is read or pulled once.
TEST(RestoredStoreAndReads, FewNodesReadTheRestoredStore)
{
    constexpr auto Time = 10s;
    for (const auto& size : RestoredFleetSizes) {
        news_simulation fleet(fleetOf(size.nodes), size.nodes);
        const std::size_t regular = StoreTopicCount
            * static_cast<std::size_t>(Time / makeReaderScheduleSettings(fleet.settings().bound).period);
        fleet.startAllNodes();
        fleet.run(8s);
        changeEverything(fleet, 25s);
        fleet.run(8s);
        fleet.restoreStore(6s, 2s);
        fleet.run(2s);
        for (auto& node : fleet.nodes())
            node.reads = 0;
        fleet.mostReadsPerSecond = 0;
        const auto reads = fleet.reads;
        const auto wholeReads = fleet.wholeReads;
        const auto wholePulls = fleet.wholePulls;
        fleet.run(Time);
        const auto readers = std::count_if(
            fleet.nodes().begin(), fleet.nodes().end(), [](const auto& node) { return node.reads > 0; });
        const auto limit = std::max<std::size_t>(4, size.nodes / 10);
        EXPECT_LE(static_cast<std::size_t>(readers), limit) << size.nodes << " nodes";
        EXPECT_LE(fleet.reads - reads, 2 * regular) << size.nodes << " nodes";
        EXPECT_LE(fleet.mostReadsPerSecond, 2'000U) << size.nodes << " nodes";
        EXPECT_LE(fleet.wholeReads - wholeReads, StoreTopicCount * 4) << size.nodes << " nodes";
        EXPECT_LE(fleet.wholePulls - wholePulls, StoreTopicCount * 2 * size.nodes) << size.nodes << " nodes";
    }
}

} // namespace
