// Guards against changes that reach nodes late, and targets that are dropped, after the store was unavailable.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

TEST(StoreOutages, AStoreThatReturnsAsItWasDelaysNoChange)
{
    runFleets(
        [](news_simulation& fleet) {
            changeEverything(fleet, 25s);
            const auto outage = randomTime(fleet, 300ms, 3s);
            fleet.at(randomTime(fleet, 6s, 12s), [&fleet, outage] { fleet.failStore(outage); });
        },
        expectNewTargetsInTime, RestoredFleetSizes);
}

} // namespace
