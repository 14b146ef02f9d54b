// Guards against zones without a reader of the store, and against limits shared by a wrong number of nodes.
#include "routing/node_roster.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

node_entry entry(const std::string& name, const std::string& zone = "z1", std::uint64_t beat = 1)
{
    return { node_id(name), availability_zone(zone), "10.0.0.1:80", beat };
}

TEST(NodeRoster, TheFirstOfTheZoneReadsAndTheOthersAskIt)
{
    const instant now { 100s };
    node_roster first(roster_settings {}, entry("a"));
    node_roster second(roster_settings {}, entry("b"));
    for (auto* roster : { &first, &second }) {
        roster->put(entry("0", "z2"), now);
        roster->put(entry("a"), now);
        roster->put(entry("b"), now);
        EXPECT_EQ(roster->liveNodes(now), 3U);
    }
    EXPECT_FALSE(first.reader(now));
    EXPECT_EQ(second.reader(now)->node.value(), "a");
}

TEST(NodeRoster, InALargeDeploymentOneNodeReadsForAllZones)
{
    const instant now { 100s };
    roster_settings settings;
    settings.largeDeployment = 4;
    node_roster zoneFirst(settings, entry("b", "z2"));
    node_roster zoneSecond(settings, entry("c", "z2"));
    for (auto* roster : { &zoneFirst, &zoneSecond }) {
        roster->put(entry("a", "z1"), now);
        roster->put(entry("b", "z2"), now);
        roster->put(entry("c", "z2"), now);
    }
    EXPECT_FALSE(zoneFirst.reader(now)) << "three nodes are few";
    for (auto* roster : { &zoneFirst, &zoneSecond })
        roster->put(entry("d", "z1"), now);
    EXPECT_EQ(zoneFirst.reader(now)->node.value(), "a");
    EXPECT_EQ(zoneSecond.reader(now)->node.value(), "b") << "within the zone where there is one";
}

TEST(NodeRoster, AReaderThatDoesNotAnswerIsPassedOver)
{
    const instant now { 100s };
    node_roster roster(roster_settings {}, entry("c"));
    roster.put(entry("a"), now);
    roster.put(entry("b"), now);
    roster.avoid(node_id("a"), now);
    EXPECT_EQ(roster.reader(now)->node.value(), "b");
    roster.avoid(node_id("b"), now);
    EXPECT_FALSE(roster.reader(now)) << "it reads the store itself";
    EXPECT_EQ(roster.reader(now + 10s)->node.value(), "a");
}

TEST(NodeRoster, ANodeThatDoesNotRenewIsGone)
{
    instant now { 100s };
    node_roster roster(roster_settings {}, entry("b"));
    roster.put(entry("a"), now);
    now += 30s;
    roster.put(entry("a"), now);
    EXPECT_TRUE(roster.reader(now));
    now += 10s;
    EXPECT_FALSE(roster.reader(now)) << "reading the same registration again does not renew it";
    EXPECT_EQ(roster.liveNodes(now), 1U);
    roster.put(entry("a", "z1", 2), now);
    EXPECT_TRUE(roster.reader(now));
    roster.remove(node_id("a"));
    EXPECT_FALSE(roster.reader(now));
}

} // namespace
