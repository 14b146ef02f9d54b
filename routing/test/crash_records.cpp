// Guards against a request that crashes its targets and is dispatched again because all nodes that knew it have ended,
// and against one that is refused although it has run to its end since.
#include "routing/test/crash_simulation.h"

#include <gtest/gtest.h>

#include <cstdio>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AllowedRetries = 3; ///< limit of the platform, after the contact time
constexpr request_fingerprint Crashing = 1;
constexpr request_fingerprint FirstHarmless = 1'000;

class CrashRecords : public testing::TestWithParam<std::size_t> {
protected:
    // Sends the crashing request from random nodes, as several callers do, together with harmless ones.
    void runTraffic(std::chrono::milliseconds time, bool crashes = true)
    {
        const auto end = fleet.now() + time;
        while (fleet.now() < end) {
            for (int caller = 0; crashes && caller < 3; ++caller)
                fleet.send(fleet.random().below(fleet.size()), Crashing, true);
            for (int count = 0; count < 20; ++count)
                fleet.send(fleet.random().below(fleet.size()), nextHarmless++, false);
            fleet.run(300ms);
        }
    }

    void killAll()
    {
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.kill(index);
    }

    void startAll()
    {
        for (std::size_t index = 0; index < fleet.size(); ++index)
            fleet.start(index);
    }

    void restartAll()
    {
        killAll();
        fleet.run(500ms);
        startAll();
        fleet.run(5s); // until the nodes are in touch
    }

    void expectQuarantined()
    {
        EXPECT_LE(fleet.lateArrivals(Crashing, 3s), AllowedRetries);
        EXPECT_EQ(fleet.nodesThatRefuse(Crashing), fleet.size());
        for (const auto& [request, times] : fleet.refused)
            EXPECT_TRUE(request == Crashing) << "harmless request " << request << " was refused " << times << " times";
    }

    crash_simulation fleet { GetParam(), GetParam() * 4 + 16, 20261207 + GetParam() };
    request_fingerprint nextHarmless = FirstHarmless;
};

TEST_P(CrashRecords, AQuarantineOutlivesAllProcesses)
{
    fleet.run(6s);
    runTraffic(6s);
    for (int restart = 0; restart < 3; ++restart) {
        restartAll();
        runTraffic(6s);
    }
    expectQuarantined();
    std::printf("%zu nodes: %zu arrivals, %zu reads and %zu writes of the store\n", GetParam(),
        fleet.arrivals[Crashing].size(), fleet.storeReads, fleet.storeWrites);
    EXPECT_LE(fleet.storeReads, 8U) << "about one a start";
    EXPECT_LE(fleet.storeWrites, 20U);
}

// The end comes between the second and the third crash, again and again.
TEST_P(CrashRecords, ASuspicionOutlivesAllProcesses)
{
    fleet.run(6s);
    for (int restart = 0; restart < 4; ++restart) {
        while (fleet.crashTimes[Crashing].size() < 2 && fleet.now() < instant(1'100s)) {
            fleet.send(fleet.random().below(fleet.size()), Crashing, true, 1);
            fleet.run(700ms);
        }
        fleet.run(1s);
        restartAll();
        fleet.send(fleet.random().below(fleet.size()), Crashing, true, 1);
        fleet.run(300ms);
    }
    runTraffic(6s);
    expectQuarantined();
}

TEST_P(CrashRecords, ASilentStoreLosesNoQuarantine)
{
    fleet.run(6s);
    fleet.silenceStore(8s);
    runTraffic(6s);
    fleet.run(12s); // the store responds again, and late writes are performed
    restartAll();
    runTraffic(6s);
    expectQuarantined();
}

TEST_P(CrashRecords, AStoreThatIsSilentAtTheStartIsReadLater)
{
    fleet.run(6s);
    runTraffic(6s);
    killAll();
    fleet.run(500ms);
    fleet.silenceStore(6s);
    startAll();
    fleet.run(16s); // nodes without a configuration take no requests
    runTraffic(6s);
    expectQuarantined();
}

TEST_P(CrashRecords, ARestoredStoreLosesNoQuarantine)
{
    fleet.run(6s);
    const auto copy = fleet.storeCopy();
    runTraffic(6s);
    fleet.restoreStore(copy);
    fleet.run(3s);
    restartAll();
    runTraffic(6s);
    expectQuarantined();
}

TEST_P(CrashRecords, AKeeperThatEndsAtOnceLosesNoQuarantine)
{
    fleet.run(6s);
    runTraffic(2s);
    for (std::size_t keeper = 0; keeper < 2 && keeper + 1 < fleet.size(); ++keeper) {
        fleet.kill(keeper);
        fleet.run(3s);
    }
    restartAll();
    runTraffic(6s);
    expectQuarantined();
}

TEST_P(CrashRecords, ARequestThatRanToItsEndIsNotRefusedAfterTheEndOfAllProcesses)
{
    fleet.run(6s);
    runTraffic(6s);
    const auto quarantined = fleet.storeCopy();
    ASSERT_EQ(quarantined.second.notes.size(), 1U);
    for (std::size_t index = 0; index < fleet.size(); ++index)
        fleet.complete(index % fleet.size(), Crashing);
    fleet.run(3s);
    EXPECT_TRUE(fleet.storeCopy().second.notes.empty());
    fleet.restoreStore({ fleet.storeCopy().first, quarantined.second }); // from an older copy
    fleet.run(3s);
    restartAll();
    EXPECT_EQ(fleet.nodesThatRefuse(Crashing), 0U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, CrashRecords, testing::Values(1, 6, 60, 300));

shared_crash_ledger ledgerOf(const std::string& address, instant now)
{
    return { node_id(address), shared_crash_settings {}, seeded_random(7), now };
}

// Crashes a target under a request with a part.
void crash(shared_crash_ledger& ledger, request_fingerprint request, request_fingerprint part, instant now)
{
    const target_name target("t" + std::to_string(request));
    ledger.recordCrash(target, crashIdOf(target, request), { { request, { part } } }, now);
}

TEST(CrashRecord, QuarantinedPartsOutliveTheLedger)
{
    constexpr request_fingerprint Part = 77;
    instant now(1'000s);
    auto ledger = ledgerOf("10.0.0.1:7200", now);
    for (request_fingerprint run = 100; run < 200; ++run)
        ledger.recordStart({ 500 + run }, now);
    for (request_fingerprint request = 1; request <= 4; ++request)
        crash(ledger, request, Part, now += 1s);
    ASSERT_EQ(ledger.verdict(Part, now), crash_verdict::Quarantined);
    const auto notes = ledger.record(256, now);
    ASSERT_EQ(notes.size(), 1U) << "the requests have one crash each";
    auto next = ledgerOf("10.0.0.2:7200", now);
    next.mergeRecord(notes, now);
    EXPECT_TRUE(next.isPart(Part));
    EXPECT_EQ(next.verdict(Part, now), crash_verdict::Quarantined);
    EXPECT_EQ(next.digestOf(next.record(256, now), now), ledger.digestOf(notes, now));
    next.recordStart({ Part }, now += 1s);
    EXPECT_TRUE(next.record(256, now).empty()) << "the part was in a run that went well";
}

TEST(CrashRecord, SuspectedPartsAreNotRecorded)
{
    instant now(1'000s);
    auto ledger = ledgerOf("10.0.0.1:7200", now);
    for (request_fingerprint request = 1; request <= 3; ++request)
        crash(ledger, request, 77, now += 1s);
    EXPECT_TRUE(ledger.record(256, now).empty());
}

TEST(CrashRecord, TheLatestAreRecorded)
{
    instant now(1'000s);
    auto ledger = ledgerOf("10.0.0.1:7200", now);
    for (request_fingerprint request = 1; request <= 20; ++request) {
        for (std::uint64_t number = 0; number < 3; ++number) {
            const target_name target("t" + std::to_string(request * 10 + number));
            ledger.recordCrash(target, crashIdOf(target, 1), { { request } }, now += 1s);
        }
    }
    const auto notes = ledger.record(5, now);
    ASSERT_EQ(notes.size(), 5U);
    EXPECT_EQ(notes.front().request, 20U);
    EXPECT_EQ(notes.back().request, 16U);
}

} // namespace
