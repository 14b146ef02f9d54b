// Guards against streams over network paths that lose packets, and against avoiding the engines of a zone because they
// are busy: both show as pauses between events.
#include "routing/path_monitor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const availability_zone Zone("z2");
const instant Start { 100s };

path_monitor monitorWithLoss(instant at)
{
    path_monitor monitor { path_monitor_settings {} };
    monitor.recordEvents(Zone, 230ms, 8, at);
    monitor.recordEvents(Zone, 230ms, 8, at);
    return monitor;
}

TEST(PathMonitor, RepeatedRetransmissionsMakeAPathLossy)
{
    path_monitor monitor { path_monitor_settings {} };
    EXPECT_FALSE(monitor.recordEvents(Zone, 230ms, 8, Start));
    EXPECT_TRUE(monitor.lossyZones(Start).empty());
    EXPECT_TRUE(monitor.recordEvents(Zone, 460ms, 4, Start + 1s));
    EXPECT_EQ(monitor.lossyZones(Start + 1s), std::vector { Zone });
    EXPECT_FALSE(monitor.recordEvents(Zone, 230ms, 8, Start + 1'100ms)) << "reported once";
}

TEST(PathMonitor, SingleLossesFarApartDoNot)
{
    path_monitor monitor { path_monitor_settings {} };
    for (int minute = 0; minute < 10; ++minute)
        EXPECT_FALSE(monitor.recordEvents(Zone, 230ms, 8, Start + minute * 1min));
}

TEST(PathMonitor, RareLossesAmongManyStreamsDoNot)
{
    path_monitor monitor { path_monitor_settings {} };
    for (int group = 0; group < 100'000; ++group) {
        const bool isLost = group % 1'000 == 999;
        monitor.recordEvents(Zone, isLost ? 230ms : 30ms, isLost ? 8 : 1, Start + group * 1ms);
    }
    EXPECT_TRUE(monitor.lossyZones(Start + 100s).empty());
}

RC_GTEST_PROP(PathMonitor, EnginesThatSendOneEventAtATimeAreNotAvoided, ())
{
    path_monitor monitor { path_monitor_settings {} };
    auto now = Start;
    for (const auto pause : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2'000))) {
        now += std::chrono::milliseconds(pause);
        monitor.recordEvents(Zone, std::chrono::milliseconds(pause), 1, now);
    }
    RC_ASSERT(monitor.lossyZones(now).empty());
}

TEST(PathMonitor, APathIsTriedAgainAfterEverLongerHolds)
{
    auto monitor = monitorWithLoss(Start);
    auto foundAt = Start;
    for (const auto hold : { 4s, 8s, 16s, 16s }) {
        EXPECT_FALSE(monitor.lossyZones(foundAt + hold - 1ms).empty());
        EXPECT_TRUE(monitor.lossyZones(foundAt + hold).empty());
        foundAt += hold + 500ms;
        monitor.recordEvents(Zone, 230ms, 8, foundAt);
        EXPECT_TRUE(monitor.recordEvents(Zone, 230ms, 8, foundAt));
    }
    const auto recoveredAt = foundAt + 1min;
    monitor.recordEvents(Zone, 230ms, 8, recoveredAt);
    monitor.recordEvents(Zone, 230ms, 8, recoveredAt);
    EXPECT_TRUE(monitor.lossyZones(recoveredAt + 4s).empty());
}

} // namespace
