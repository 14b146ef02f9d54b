// Guards against nodes that take the changes in a store for old ones after it was restored again, before the operator
// had written the configuration that the first restore lost.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

TEST(RestoredStoreTwice, RestoresBeforeTheLostConfigurationIsWrittenAgainDelayNoChange)
{
    runFleets([](news_simulation& fleet) { restoreAgainAfter(fleet, 0ms, 600ms); }, expectNewTargetsInTime,
        RestoredFleetSizes);
}

} // namespace
