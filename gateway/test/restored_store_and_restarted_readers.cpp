// Guards against late changes when the node that reads a restored store has just started.
#include "gateway/test/reader_losses.h"

using namespace oriolepick;

namespace {

TEST(RestoredStoreAndRestartedReaders, AReaderThatRestartsDelaysNoChange)
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

} // namespace
