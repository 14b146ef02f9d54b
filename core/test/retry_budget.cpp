// Guards the load limits after failures: retries stay a share of successes, hedges leave a reserve, a caller's retry is
// not multiplied, and resumes after a zone loss are spread with a bounded wait.
#include "core/retry_budget.h"
#include "core/resume_pacer.h"
#include "core/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

const instant Start { std::chrono::hours(1) };
const team_id Team(fleet_name("one"), "desk");

resume_request resumeOf(const team_id& team = Team, bool hedge = false, bool callerRetry = false)
{
    return { team, "group", 100, hedge, callerRetry };
}

struct budget_fixture {
    explicit budget_fixture(retry_budget_settings settings = {})
        : budget(settings, nullptr, random, Start)
    {
    }
    seeded_random random { 1 };
    retry_budget budget;

    int admitAll(const resume_request& request, int tries, instant now = Start)
    {
        int admitted = 0;
        for (int index = 0; index < tries; ++index)
            admitted += budget.admit(request, now).has_value();
        return admitted;
    }
};

} // namespace

RC_GTEST_PROP(retry_budget, retries_never_exceed_the_share_of_successes, ())
{
    retry_budget_settings settings;
    settings.teamLimit = settings.groupLimit = settings.nodeLimit = *rc::gen::inRange(1, 20);
    budget_fixture fixture(settings);
    auto now = Start;
    int successes = 0;
    int retries = 0;
    for (int index = *rc::gen::inRange(0, 300); index > 0; --index) {
        now += milliseconds(*rc::gen::inRange(0, 20));
        if (*rc::gen::arbitrary<bool>()) {
            fixture.budget.recordSuccess(Team, "group", now);
            ++successes;
        } else {
            retries += fixture.budget.admit(resumeOf(), now).has_value();
        }
    }
    const double seconds = std::chrono::duration<double>(now - Start).count();
    RC_ASSERT(retries
        <= settings.teamLimit + settings.retriesPerSuccess * successes + settings.minRetriesPerSecond * seconds + 1e-6);
}

TEST(retry_budget, floor_allows_a_retry_without_successes)
{
    budget_fixture fixture;
    fixture.admitAll(resumeOf(), 1000);
    EXPECT_EQ(fixture.admitAll(resumeOf(), 5), 0);
    EXPECT_EQ(fixture.admitAll(resumeOf(), 5, Start + milliseconds(1001)), 1);
}

TEST(retry_budget, one_team_cannot_use_up_the_node)
{
    retry_budget_settings settings;
    settings.groupLimit = 1000;
    budget_fixture fixture(settings);
    EXPECT_EQ(fixture.admitAll(resumeOf(), 1000), settings.teamLimit);
    const team_id other(fleet_name("two"), "desk");
    EXPECT_GT(fixture.admitAll(resumeOf(other), 10), 0);
}

TEST(retry_budget, hedges_leave_the_reserve_to_broken_streams)
{
    budget_fixture fixture;
    const int hedges = fixture.admitAll(resumeOf(Team, true), 1000);
    EXPECT_EQ(hedges, 100);
    EXPECT_EQ(fixture.admitAll(resumeOf(), 1000), 100);
}

TEST(retry_budget, no_optional_retry_on_a_callers_retry)
{
    budget_fixture fixture;
    EXPECT_EQ(fixture.admitAll(resumeOf(Team, true, true), 1), 0);
    EXPECT_EQ(fixture.admitAll(resumeOf(Team, false, true), 1), 1);
}

TEST(retry_budget, jitter_spreads_simultaneous_retries)
{
    budget_fixture fixture;
    const auto first = *fixture.budget.admit(resumeOf(), Start);
    const auto second = *fixture.budget.admit(resumeOf(), Start);
    EXPECT_NE(first, second);
    EXPECT_LE(first, Start + retry_budget_settings {}.jitter);
}

TEST(resume_pacer, burst_starts_at_once_and_the_rest_is_spread)
{
    const resume_pacer_settings settings;
    resume_pacer pacer(settings, Start);
    for (std::uint32_t index = 0; index < settings.burst; ++index)
        EXPECT_EQ(pacer.schedule(500, Start), Start);
    const auto next = pacer.schedule(500, Start);
    EXPECT_GT(next, Start);
    EXPECT_GT(pacer.schedule(500, Start), next);
    EXPECT_LT(pacer.schedule(10, Start), pacer.schedule(500, Start));
    EXPECT_EQ(pacer.schedule(500, Start + std::chrono::seconds(5)), Start + std::chrono::seconds(5));
}

RC_GTEST_PROP(resume_pacer, wait_is_bounded, ())
{
    const resume_pacer_settings settings;
    resume_pacer pacer(settings, Start);
    auto now = Start;
    for (int index = *rc::gen::inRange(0, 2000); index > 0; --index) {
        now += std::chrono::microseconds(*rc::gen::inRange(0, 2000));
        const auto start = pacer.schedule(static_cast<std::uint32_t>(*rc::gen::inRange(1, 1000)), now);
        RC_ASSERT(start >= now);
        RC_ASSERT(start <= now + settings.maxWait);
    }
}
