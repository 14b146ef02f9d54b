// Guards against nodes that act on old configurations after the store has returned, when it served only some of them
// meanwhile, or when nodes started, froze or were cut off.
#include "gateway/test/outage_scenarios.h"

using namespace oriolepick;

namespace {

TEST_P(ReturningStore, AStoreThatServesSomeNodesDelaysNothing)
{
    expectNoDelay({ { outage_kind::Silent, outage_kind::Rejecting }, {}, true });
}

TEST_P(ReturningStore, NodesThatStartFreezeOrAreCutOffMeanwhileDelayNothing)
{
    expectNoDelay({ { outage_kind::Silent, outage_kind::Slow, outage_kind::Rejecting },
        { trouble::Kill, trouble::Freeze, trouble::Cut, trouble::Reject } });
}

INSTANTIATE_TEST_SUITE_P(Fleets, ReturningStore,
    testing::Values(fleet_size { 6, 1, 8 }, fleet_size { 9, 1, 8 }, fleet_size { 40, 1, 1 }, fleet_size { 120, 1, 1 }),
    fleetName);

} // namespace
