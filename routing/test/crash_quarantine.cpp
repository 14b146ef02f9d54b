// Guards against a request that crashes its targets and is run again and again because its caller reaches other nodes,
// and against refusing requests that only ran beside one.
#include "routing/test/crash_simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AllowedRetries = 3; ///< by the platform's rules, later than the contact time
constexpr request_fingerprint Crashing = 1;
constexpr request_fingerprint Common = 900; ///< sent by many callers all the time
constexpr request_fingerprint FirstHarmless = 1'000;

// Sends the crashing request every \p pause at a random node, and innocent requests beside it.
void runTraffic(crash_simulation& fleet, std::chrono::milliseconds pause, std::chrono::milliseconds time,
    request_fingerprint& nextHarmless)
{
    const auto end = fleet.now() + time;
    while (fleet.now() < end) {
        fleet.send(fleet.random().below(fleet.size()), Crashing, true);
        for (int count = 0; count < 40; ++count)
            fleet.send(fleet.random().below(fleet.size()), nextHarmless++, false);
        fleet.send(fleet.random().below(fleet.size()), Common, false);
        fleet.run(pause);
    }
}

std::size_t refusedHarmless(const crash_simulation& fleet)
{
    std::size_t count = 0;
    for (const auto& [request, times] : fleet.refused)
        count += request == Crashing ? 0 : times;
    return count;
}

} // namespace

TEST(CrashQuarantine, RequestIsRefusedOnAllNodesSoonAfterItsThirdCrash)
{
    for (const std::size_t nodes : { 1, 2, 6, 60, 300 }) {
        crash_simulation fleet(nodes, nodes * 4 + 16, 20261204 + nodes);
        request_fingerprint harmless = FirstHarmless;
        fleet.run(6s);
        fleet.datagrams = 0;
        runTraffic(fleet, 400ms, 20s, harmless);
        std::printf("%zu nodes: %zu arrivals, %zu late, %zu of %zu nodes refuse, %zu datagrams\n", nodes,
            fleet.arrivals[Crashing].size(), fleet.lateArrivals(Crashing, 3s), fleet.nodesThatRefuse(Crashing), nodes,
            fleet.datagrams);
        EXPECT_LE(fleet.lateArrivals(Crashing, 3s), AllowedRetries);
        EXPECT_LE(fleet.arrivals[Crashing].size(), 3 + AllowedRetries);
        EXPECT_EQ(fleet.nodesThatRefuse(Crashing), nodes);
        EXPECT_EQ(refusedHarmless(fleet), 0U);
    }
}

TEST(CrashQuarantine, RequestStaysRefusedWhenNodesAreCutOffFreezeAndRestart)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        crash_simulation fleet(40, 200, seed);
        fleet.setLoss(0.03);
        request_fingerprint harmless = FirstHarmless;
        fleet.run(6s);
        for (int round = 0; round < 12; ++round) {
            const auto index = fleet.random().below(fleet.size());
            switch (fleet.random().below(3)) {
            case 0:
                fleet.kill(index);
                fleet.at(700ms, [&fleet, index] { fleet.start(index); });
                break;
            case 1:
                fleet.cut(index, 4s);
                break;
            default:
                fleet.freeze(index, 3s);
            }
            runTraffic(fleet, 150ms, 2s, harmless);
        }
        EXPECT_LE(fleet.lateArrivals(Crashing, 5s), AllowedRetries) << "seed " << seed;
        EXPECT_EQ(refusedHarmless(fleet), 0U) << "seed " << seed;
    }
}

TEST(CrashQuarantine, RequestStaysRefusedWhenAllReplicasRestart)
{
    crash_simulation fleet(12, 60, 5);
    request_fingerprint harmless = FirstHarmless;
    fleet.run(6s);
    runTraffic(fleet, 200ms, 3s, harmless);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.kill(index);
        fleet.run(300ms);
        fleet.start(index);
        runTraffic(fleet, 200ms, 1'500ms, harmless);
    }
    EXPECT_LE(fleet.lateArrivals(Crashing, 5s), AllowedRetries);
    EXPECT_EQ(fleet.nodesThatRefuse(Crashing), fleet.size());
}

// Ten requests in flight at each target: nearly each crash hits others beside the one that caused it.
TEST(CrashQuarantine, ConcurrentRequestsAreServedInSmallFleets)
{
    std::size_t harmlessCount = 0;
    std::size_t refused = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        crash_simulation fleet(6, 18, seed);
        request_fingerprint harmless = FirstHarmless;
        fleet.run(6s);
        for (int round = 0; round < 100; ++round) {
            const auto crashing = Crashing + static_cast<request_fingerprint>(round / 20); // five, one after another
            if (round % 2 == 0)
                fleet.send(fleet.random().below(fleet.size()), crashing, true);
            for (int count = 0; count < 14; ++count)
                fleet.send(fleet.random().below(fleet.size()), harmless++, false);
            fleet.run(100ms);
        }
        for (request_fingerprint crashing = Crashing; crashing < Crashing + 5; ++crashing)
            EXPECT_LE(fleet.lateArrivals(crashing, 3s), AllowedRetries) << "seed " << seed;
        harmlessCount += harmless - FirstHarmless;
        for (auto each = fleet.refused.lower_bound(FirstHarmless); each != fleet.refused.end(); ++each)
            refused += each->second;
    }
    std::printf("%zu of %zu innocent requests refused\n", refused, harmlessCount);
    EXPECT_LE(refused, harmlessCount / 1'000);
}

TEST(CrashQuarantine, CommonRequestIsServedDespiteManyCrashes)
{
    crash_simulation fleet(30, 20, 11);
    fleet.run(6s);
    for (int round = 0; round < 200; ++round) {
        for (int count = 0; count < 10; ++count)
            fleet.send(fleet.random().below(fleet.size()), Common, false);
        if (round % 3 == 0)
            fleet.crash(fleet.random().below(20));
        fleet.run(100ms);
    }
    EXPECT_EQ(fleet.nodesThatRefuse(Common), 0U);
    // At the moments of the crashes a few callers may be refused, until the next success is told.
    std::printf("refused %zu of 2,000\n", fleet.refused[Common]);
    EXPECT_LE(fleet.refused[Common], 20U);
}

TEST(CrashQuarantine, NoMessagesWithoutCrashes)
{
    crash_simulation fleet(50, 50, 3);
    fleet.run(10s);
    fleet.datagrams = 0;
    for (int round = 0; round < 100; ++round) {
        fleet.send(fleet.random().below(fleet.size()), FirstHarmless + static_cast<std::uint64_t>(round), false);
        fleet.run(50ms);
    }
    EXPECT_EQ(fleet.datagrams, 0U);
}
