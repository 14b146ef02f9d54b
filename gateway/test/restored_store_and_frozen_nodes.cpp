// Guards against older configurations and leaving targets in use when nodes freeze before what a restored store has
// lost is written again.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

TEST(RestoredStoreAndLostNodes, NodesThatFreezeDelayNoChange)
{
    runFleets(
        [](news_simulation& fleet) { restoreAndDisturb(fleet, { trouble::Freeze }); }, nullptr, RestoredFleetSizes);
}

} // namespace
