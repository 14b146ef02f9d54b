// Guards against targets that left and are used on, and against targets that started again and are not used: late
// renewals reach the store while nodes start, freeze and take over reading it, and the store keeps its history.
#include "gateway/test/news_scenarios.h"

using namespace oriolepick;

namespace {

TEST(LateNews, LateRenewalsHideNoLeavingTargetFromReadersThatFollowEachChange)
{
    runFleets(
        [](news_simulation& fleet) {
            changeEverything(fleet, 25s);
            disturbNodes(
                fleet, { trouble::Kill, trouble::Freeze, trouble::Cut, trouble::Reject, trouble::Delay }, 25s, 1'000ms);
        },
        [](news_simulation_settings& settings) {
            settings.loss = 0.02;
            settings.lateRenewals = 0.2;
        });
}

} // namespace
