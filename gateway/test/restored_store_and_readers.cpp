// Guards against late changes when the node that reads a restored store is lost or has just started, and against a
// restore that makes all nodes read the store.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

std::optional<std::size_t> readerOf(news_simulation& fleet)
{
    for (std::size_t index = 0; index < fleet.nodes().size(); ++index) {
        const auto& node = fleet.nodes()[index];
        if (node.running && fleet.now() >= node.frozenUntil && node.gossip->readerSchedule().isReader())
            return index;
    }
    return std::nullopt;
}

using loss = void (*)(news_simulation&, std::size_t reader);

// Loses the node that reads the store next.
void loseNextReader(news_simulation& fleet, loss lose)
{
    if (const auto reader = readerOf(fleet))
        lose(fleet, *reader);
    else
        fleet.at(10ms, [&fleet, lose] { loseNextReader(fleet, lose); });
}

// The readers are lost shortly before the store is, and shortly after its return.
void restoreAndLoseReaders(news_simulation& fleet, loss lose)
{
    changeEverything(fleet, 25s);
    const auto restore = randomRestore(fleet, 6s, 10s);
    restoreStore(fleet, restore);
    fleet.at(restore.at - randomTime(fleet, 0ms, 400ms), [&fleet, lose] { loseNextReader(fleet, lose); });
    fleet.at(restore.returnsAt() + randomTime(fleet, 0ms, 600ms), [&fleet, lose] { loseNextReader(fleet, lose); });
}

TEST(RestoredStoreAndReaders, AReaderThatRestartsDelaysNoChange)
{
    runFleets(
        [](news_simulation& fleet) {
            restoreAndLoseReaders(fleet, [](news_simulation& fleet, std::size_t reader) {
                fleet.killNode(reader);
                fleet.at(randomTime(fleet, 50ms, 600ms), [&fleet, reader] { fleet.startNode(reader); });
            });
        },
        nullptr, RestoredFleetSizes);
}

TEST(RestoredStoreAndReaders, AReaderThatFreezesDelaysNoChange)
{
    runFleets(
        [](news_simulation& fleet) {
            restoreAndLoseReaders(fleet, [](news_simulation& fleet, std::size_t reader) {
                fleet.freezeNode(reader, randomTime(fleet, 500ms, 4s));
            });
        },
        nullptr, RestoredFleetSizes);
}

// Of nodes that try to read in turn, few read a store that responds, and a whole table is read or pulled once.
TEST(RestoredStoreAndReaders, FewNodesReadTheRestoredStore)
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
