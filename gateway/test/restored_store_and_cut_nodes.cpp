// Guards against older configurations and leaving targets in use when nodes are cut off before what a restored store
// has lost is written again.
#include "gateway/test/restore_scenarios.h"

using namespace oriolepick;

namespace {

TEST(RestoredStoreAndCutNodes, NodesThatAreCutOffDelayNoChange)
{
    runFleets(
        [](news_simulation& fleet) {
            restoreAndDisturb(fleet, { trouble::Cut, trouble::Reject });
        },
        nullptr, RestoredFleetSizes);
}

} // namespace
