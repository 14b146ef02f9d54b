// Guards against late changes when the node that reads a restored store freezes.
#include "gateway/test/reader_losses.h"

using namespace oriolepick;

namespace {

TEST(RestoredStoreAndFrozenReaders, AReaderThatFreezesDelaysNoChange)
{
    runFleets(
        [](news_simulation& fleet) {
            restoreAndLoseReaders(fleet, [](news_simulation& fleet, std::size_t reader) {
                fleet.freezeNode(reader, randomTime(fleet, 500ms, 4s));
            });
        },
        nullptr, RestoredFleetSizes);
}

} // namespace
