// Guards against nodes that take the changes in a store for old ones after it was restored again, within seconds or
// before the operator had written the configuration that the first restore lost.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

void restoreAgainAfter(news_simulation& fleet, std::chrono::milliseconds from, std::chrono::milliseconds to)
{
    changeEverything(fleet, 25s);
    const auto first = randomRestore(fleet, 4s, 8s);
    restoreStore(fleet, first);
    const auto next = first.returnsAt() + randomTime(fleet, from, to);
    restoreStore(fleet, { next, randomTime(fleet, 1s, 6s), randomTime(fleet, 300ms, 2s) });
}

TEST(RestoredStoreTwice, RestoresBeforeTheLostConfigurationIsWrittenAgainDelayNoChange)
{
    runFleets([](news_simulation& fleet) { restoreAgainAfter(fleet, 0ms, 600ms); }, expectNewTargetsInTime,
        RestoredFleetSizes);
}

TEST(RestoredStoreTwice, RestoresWithinSecondsDelayNoChange)
{
    runFleets(
        [](news_simulation& fleet) { restoreAgainAfter(fleet, 1s, 6s); }, expectNewTargetsInTime, RestoredFleetSizes);
}

} // namespace
