// Guards against hundreds of nodes that learn late of the return of the store, or that all read it then.
#include "gateway/test/outage_scenarios.h"

using namespace oriolepick;

namespace {

TEST_P(ReturningStore, OutagesOfAllKindsAndNodesInTroubleDelayNothing)
{
    expectNoDelay({ { outage_kind::Silent, outage_kind::Slow, outage_kind::Rejecting },
        { trouble::Kill, trouble::Freeze, trouble::Cut, trouble::Reject }, true });
}

INSTANTIATE_TEST_SUITE_P(Fleets, ReturningStore, testing::Values(fleet_size { 370, 1, 1 }), fleetName);

} // namespace
