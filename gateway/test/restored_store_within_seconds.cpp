// Guards against nodes that take the changes in a store for old ones, or use targets that left, after it was restored
// again within seconds.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

TEST(RestoredStoreTwice, RestoresWithinSecondsDelayNoChange)
{
    runFleets(
        [](news_simulation& fleet) { restoreAgainAfter(fleet, 1s, 6s); }, expectNewTargetsInTime, RestoredFleetSizes);
}

} // namespace
