// Guards against verdicts by chance, faults that the comparison overlooks, and reports that are counted twice.
#include "routing/version_comparison.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

using ms = std::chrono::milliseconds;

class VersionComparison : public testing::Test {
protected:
    // Adds responses of one target; failures are part of them. Target 0 is the old version.
    void add(std::uint64_t target, std::uint64_t responses, std::uint64_t failures, ms latency = 30ms, int route = 0)
    {
        rollout_cell cell { static_cast<std::uint8_t>(route), target, { responses, failures, {} } };
        cell.counts.latencies[latencyBucket(latency)] = responses - failures;
        report.cells.push_back(cell);
    }

    bool isBad(comparison_stage stage = comparison_stage::Observing)
    {
        ++report.sequence;
        comparison.merge(node_id("a"), report);
        report.cells.clear();
        return comparison.judge(stage, now).bad;
    }

    instant now { 100s };
    rollout_report report;
    version_comparison comparison { {} };
};

TEST_F(VersionComparison, ChanceIsThatOfFishersTest)
{
    EXPECT_NEAR(chanceOfExcess(3, 4, 1, 4), 17.0 / 70, 1e-9); // the lady tasting tea
    EXPECT_NEAR(chanceOfExcess(4, 4, 0, 4), 1.0 / 70, 1e-9);
    EXPECT_NEAR(chanceOfExcess(0, 10, 5, 10), 1, 1e-9);
    EXPECT_LT(chanceOfExcess(450, 1'000, 0, 100'000), 1e-100);
}

TEST_F(VersionComparison, NoResponsesAreSound)
{
    EXPECT_FALSE(isBad());
    add(0, 1'000, 100);
    EXPECT_FALSE(isBad(comparison_stage::EndOfObservation));
}

TEST_F(VersionComparison, FailuresOnMostCanariesAreBad)
{
    add(0, 200, 0);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 4, canary % 4 ? 2 : 0);
    EXPECT_TRUE(isBad());
}

TEST_F(VersionComparison, FailuresOnAFifthOfTheCanariesAreNot)
{
    add(0, 200, 0);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 30, canary <= 3 ? 15 : 0);
    EXPECT_FALSE(isBad());
    EXPECT_FALSE(isBad(comparison_stage::EndOfObservation));
}

TEST_F(VersionComparison, FailuresThatTheOldVersionHasTooAreNot)
{
    add(0, 500, 225);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 6, 3);
    EXPECT_FALSE(isBad());
}

TEST_F(VersionComparison, FailuresThatPrecedeTheOtherResponsesAreNot)
{
    add(0, 200, 18);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 1, canary <= 5);
    report.cells.push_back({ UnspecifiedRoute, 0, { 60, 0, {} } }); // attempts begun
    EXPECT_FALSE(isBad());
}

TEST_F(VersionComparison, OneBadRouteIsBad)
{
    for (int route = 0; route < 4; ++route) {
        add(0, 1'000, 20, 30ms, route);
        for (std::uint64_t canary = 1; canary <= 12; ++canary)
            add(canary, 6, route == 2 && canary <= 9 ? 2 : 0, 30ms, route);
    }
    EXPECT_TRUE(isBad());
}

TEST_F(VersionComparison, SlownessIsBadAlsoWhileAFifthIsSlow)
{
    add(0, 400, 0, 30ms);
    add(0, 100, 0, 150ms, 1);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 3, 0, 150ms);
    EXPECT_TRUE(isBad());
}

TEST_F(VersionComparison, LessThanTwiceAsSlowIsNotBad)
{
    add(0, 500, 0, 100ms);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 50, 0, 190ms);
    EXPECT_FALSE(isBad());
}

TEST_F(VersionComparison, AFaultThatBeginsLaterIsSeenInTheRecentPeriod)
{
    add(0, 9'000, 900);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 100, 0);
    EXPECT_FALSE(isBad());
    now += 3s;
    EXPECT_FALSE(isBad());
    now += 1s;
    add(0, 9'100, 910);
    for (std::uint64_t canary = 1; canary <= 12; ++canary)
        add(canary, 104, 2);
    EXPECT_TRUE(isBad()); // 24 of 1,248 altogether
}

TEST_F(VersionComparison, ReportsCountOnceAndStartsAddUp)
{
    const auto merge = [this](const char* node, std::uint64_t start, std::uint64_t requests) {
        report.nodeStart = start;
        report.requests = requests;
        comparison.merge(node_id(node), report);
    };
    merge("a", 1, 100);
    merge("a", 1, 100); // duplicate
    merge("a", 1, 60); // late
    merge("b", 1, 10);
    merge("a", 2, 5); // restarted
    merge("a", 1, 100);
    EXPECT_EQ(comparison.requests(), 115U);
}

} // namespace
