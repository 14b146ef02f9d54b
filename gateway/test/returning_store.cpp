// Guards against nodes that act on old configurations after the store has returned, because a read that was lost, a
// back-off or the memory of earlier failures delays their next read.
#include "gateway/test/outage_scenarios.h"

using namespace oriolepick;

namespace {

TEST_P(ReturningStore, SilentOutagesDelayNothing)
{
    expectNoDelay({ { outage_kind::Silent }, {} });
}

TEST_P(ReturningStore, OutagesOfAllKindsDelayNothing)
{
    expectNoDelay({ { outage_kind::Silent, outage_kind::Slow, outage_kind::Rejecting }, {} });
}

INSTANTIATE_TEST_SUITE_P(Fleets, ReturningStore,
    testing::Values(fleet_size { 6, 1, 8 }, fleet_size { 9, 1, 8 }, fleet_size { 40, 1, 1 }, fleet_size { 120, 1, 1 }),
    fleetName);

} // namespace
