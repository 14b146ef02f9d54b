// Guards the verdicts on requests that crash targets: counting over merged reports, separation of suspects, faulty
// targets, expiry and the bound on memory.
#include "core/crash_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

using namespace oriolepick;

namespace {

wall_time at(int minutes)
{
    return wall_time(std::chrono::hours(1000) + std::chrono::minutes(minutes));
}

target_id target(int number)
{
    return { fleet_name("atelier"), "t" + std::to_string(number) };
}

crash_event crash(int number, int on, int minutes, std::vector<request_fingerprint> suspects)
{
    return { crashIdOf(target(on), static_cast<std::uint64_t>(number)), target(on), at(minutes), std::move(suspects) };
}

bool contains(const std::vector<target_id>& targets, const target_id& wanted)
{
    return std::find(targets.begin(), targets.end(), wanted) != targets.end();
}

} // namespace

TEST(crash_ledger, verdict_grows_with_each_crash_and_repeated_reports_count_once)
{
    crash_ledger ledger({});
    EXPECT_EQ(ledger.verdict(at(0), 1), crash_verdict::Clear);
    for (int repeat = 0; repeat < 3; ++repeat)
        ledger.recordCrash(at(0), crash(1, 1, 0, { 1, 2 }));
    EXPECT_EQ(ledger.verdict(at(0), 1), crash_verdict::Suspect);
    ledger.recordCrash(at(1), crash(2, 2, 1, { 1 }));
    EXPECT_EQ(ledger.verdict(at(1), 1), crash_verdict::Isolated);
    EXPECT_EQ(ledger.verdict(at(1), 2), crash_verdict::Suspect);
    ledger.recordCrash(at(2), crash(3, 3, 2, { 1 }));
    EXPECT_EQ(ledger.verdict(at(2), 1), crash_verdict::Quarantined);
    EXPECT_EQ(ledger.quarantined(at(2)), 1u);
}

TEST(crash_ledger, suspects_avoid_their_crashed_targets_and_each_other)
{
    crash_ledger ledger({});
    ledger.recordCrash(at(0), crash(1, 1, 0, { 1, 2 }));
    ledger.attemptStarted(1, target(2));
    EXPECT_TRUE(contains(ledger.targetsToAvoid(at(0), 2).forbidden, target(1)));
    EXPECT_TRUE(contains(ledger.targetsToAvoid(at(0), 2).discouraged, target(2)));
    EXPECT_FALSE(
        contains(ledger.targetsToAvoid(at(0), 9).discouraged, target(2))); // a clear request may join a suspect
    ledger.recordCrash(at(0), crash(1, 3, 0, { 1 }));
    EXPECT_TRUE(contains(ledger.targetsToAvoid(at(0), 9).discouraged, target(2))); // but not an isolated one
    ledger.attemptEnded(1, target(2));
    EXPECT_FALSE(contains(ledger.targetsToAvoid(at(0), 2).discouraged, target(2)));
}

TEST(crash_ledger, crashes_of_a_faulty_target_do_not_count)
{
    crash_ledger ledger({});
    ledger.recordCrash(at(0), crash(1, 1, 0, { 1, 2 }));
    ledger.recordCrash(at(1), crash(2, 1, 1, { 3 }));
    EXPECT_FALSE(ledger.isFaulty(at(1), target(1)));
    EXPECT_EQ(ledger.verdict(at(1), 1), crash_verdict::Suspect);
    ledger.recordCrash(at(2), crash(3, 1, 2, { 4 }));
    EXPECT_TRUE(ledger.isFaulty(at(2), target(1)));
    EXPECT_EQ(ledger.verdict(at(2), 1), crash_verdict::Clear);
    EXPECT_TRUE(contains(ledger.targetsToAvoid(at(2), 9).forbidden, target(1)));
}

TEST(crash_ledger, one_request_that_crashes_a_target_again_does_not_make_it_faulty)
{
    crash_ledger ledger({});
    for (int number = 0; number < 3; ++number)
        ledger.recordCrash(at(number), crash(number, 1, number, { 1, static_cast<request_fingerprint>(10 + number) }));
    EXPECT_FALSE(ledger.isFaulty(at(3), target(1)));
    EXPECT_EQ(ledger.verdict(at(3), 1), crash_verdict::Quarantined);
}

TEST(crash_ledger, success_clears_a_suspect_but_not_an_isolated_request)
{
    crash_ledger ledger({});
    ledger.recordCrash(at(0), crash(1, 1, 0, { 1, 2 }));
    ledger.recordSuccess(at(1), 2);
    EXPECT_EQ(ledger.verdict(at(1), 2), crash_verdict::Clear);
    ledger.recordCrash(at(1), crash(1, 1, 0, { 1, 2 })); // a late report of the same crash
    EXPECT_EQ(ledger.verdict(at(1), 2), crash_verdict::Clear);
    ledger.recordCrash(at(1), crash(2, 2, 1, { 1 }));
    ledger.recordSuccess(at(2), 1);
    EXPECT_EQ(ledger.verdict(at(2), 1), crash_verdict::Isolated);
    ledger.clear(at(3), 1);
    EXPECT_EQ(ledger.verdict(at(3), 1), crash_verdict::Clear);
}

TEST(crash_ledger, suspicion_ends_after_an_hour_and_quarantine_after_a_day)
{
    crash_ledger ledger({});
    for (int number = 0; number < 3; ++number)
        ledger.recordCrash(at(0), crash(number, number, 0, { 1 }));
    ledger.recordCrash(at(0), crash(9, 9, 0, { 2 }));
    EXPECT_EQ(ledger.verdict(at(60), 2), crash_verdict::Suspect);
    EXPECT_EQ(ledger.verdict(at(61), 2), crash_verdict::Clear);
    EXPECT_EQ(ledger.verdict(at(24 * 60), 1), crash_verdict::Quarantined);
    EXPECT_EQ(ledger.verdict(at(24 * 60 + 1), 1), crash_verdict::Clear);
    ledger.expire(at(61));
    EXPECT_EQ(ledger.fingerprints(), 1u);
    ledger.expire(at(24 * 60 + 1));
    EXPECT_EQ(ledger.fingerprints(), 0u);
}

TEST(crash_ledger, memory_is_bounded_and_quarantined_requests_stay)
{
    crash_ledger_settings settings;
    settings.maxFingerprints = 100;
    settings.maxTargets = 50;
    crash_ledger ledger(settings);
    for (int number = 0; number < 3; ++number)
        ledger.recordCrash(at(0), crash(number, number, 0, { 1 }));
    for (int number = 10; number < 500; ++number)
        ledger.recordCrash(at(1), crash(number, number, 1, { static_cast<request_fingerprint>(number) }));
    EXPECT_LE(ledger.fingerprints(), 100u);
    EXPECT_GT(ledger.evicted(), 0u);
    EXPECT_EQ(ledger.verdict(at(1), 1), crash_verdict::Quarantined);
}

TEST(crash_ledger, a_request_that_ran_beside_a_crashing_one_is_not_quarantined_by_a_crash_of_its_own)
{
    crash_ledger_settings settings;
    settings.countMarksWithEarlierSuspect = false;
    crash_ledger ledger(settings);
    ledger.recordCrash(at(0), crash(1, 1, 0, { 1, 2 }));
    ledger.recordCrash(at(1), crash(2, 2, 1, { 1, 2 }));
    ledger.recordCrash(at(2), crash(3, 3, 2, { 1 }));
    ledger.recordCrash(at(3), crash(4, 4, 3, { 2, 3 }));
    EXPECT_EQ(ledger.verdict(at(3), 1), crash_verdict::Quarantined);
    EXPECT_NE(ledger.verdict(at(3), 2), crash_verdict::Quarantined);
    EXPECT_EQ(ledger.quarantinedRequests(at(3)), std::vector<request_fingerprint> { 1 });
    // It is once it crashes as many targets that no other request explains.
    ledger.recordCrash(at(4), crash(8, 6, 4, { 2 }));
    EXPECT_NE(ledger.verdict(at(4), 2), crash_verdict::Quarantined);
    ledger.recordCrash(at(4), crash(9, 7, 4, { 2 }));
    EXPECT_EQ(ledger.verdict(at(4), 2), crash_verdict::Quarantined);
    // Two that were together at every crash cannot be told apart.
    for (int number = 10; number < 13; ++number)
        ledger.recordCrash(at(number), crash(number, number, number, { 7, 8 }));
    EXPECT_EQ(ledger.verdict(at(12), 7), crash_verdict::Quarantined);
    EXPECT_EQ(ledger.verdict(at(12), 8), crash_verdict::Quarantined);
}

RC_GTEST_PROP(crash_ledger, the_order_and_repetition_of_reports_do_not_matter, (std::uint64_t seed))
{
    std::vector<crash_event> events;
    for (int number = 0; number < 12; ++number) {
        const auto on = *rc::gen::inRange(0, 5);
        events.push_back(crash(number, on, number, { *rc::gen::inRange<request_fingerprint>(1, 4) }));
    }
    // Reports of one target arrive in order; those of different targets in any order, some of them twice.
    crash_ledger first({}), second({});
    for (const auto& event : events)
        first.recordCrash(at(20), event);
    auto shuffled = events;
    std::stable_sort(shuffled.begin(), shuffled.end(), [seed](const auto& left, const auto& right) {
        return crashIdOf(left.target, seed) < crashIdOf(right.target, seed);
    });
    for (const auto& event : shuffled) {
        second.recordCrash(at(20), event);
        second.recordCrash(at(20), event);
    }
    for (request_fingerprint each = 1; each < 4; ++each) {
        const bool enough = first.marks(at(20), each).size() < 6 && second.marks(at(20), each).size() < 6;
        if (enough)
            RC_ASSERT(first.verdict(at(20), each) == second.verdict(at(20), each));
    }
}
