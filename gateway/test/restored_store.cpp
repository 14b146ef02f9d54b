// Guards against nodes that take the changes in a restored store for old ones: the store returned from an outage in an
// older state and numbered its next changes as those that it had lost.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

TEST(RestoredStore, AStoreThatReturnsFromAnOlderCopyDelaysNoChange)
{
    runFleets(
        [](news_simulation& fleet) {
            changeEverything(fleet, 25s);
            restoreStore(fleet, randomRestore(fleet, 6s, 12s));
        },
        expectNewTargetsInTime, RestoredFleetSizes);
}

} // namespace
