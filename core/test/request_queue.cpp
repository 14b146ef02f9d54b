// Guards the bound on the longest wait, fairness between teams, removal of cancelled and expired requests before
// dispatch, and refusal before a hopeless wait.
#include "core/request_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>
#include <string>

using namespace oriolepick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

instant at(int time)
{
    return instant(milliseconds(time));
}

team_id team(std::uint64_t number)
{
    return team_id(fleet_name("refill"), "team-" + std::to_string(number));
}

queued_request request(std::uint64_t teamNumber, request_priority priority, instant deadline, std::uint32_t cost = 100)
{
    return { { team(teamNumber), "key" }, priority, cost, deadline };
}

request_queue queueOf(std::size_t capacity)
{
    request_queue_settings settings;
    settings.capacity = capacity;
    settings.maxWait = seconds(3600);
    settings.standingQueueInterval = seconds(3600); // its own test below
    return request_queue(settings, seeded_random(1));
}

} // namespace

// Failure: a bulk request waits for ever behind a stream of urgent ones.
RC_GTEST_PROP(request_queue, longest_wait_is_bounded, (std::uint64_t seed))
{
    seeded_random random(seed);
    const std::size_t capacity = 1 + random.below(40);
    auto queue = queueOf(capacity);
    std::map<queue_number, std::pair<std::uint64_t, std::size_t>> arrivals; // dispatches before, older requests
    std::uint64_t dispatches = 0;
    for (int step = 0; step < 600; ++step) {
        const auto offers = random.below(3);
        for (std::uint64_t count = 0; count < offers; ++count) {
            const auto priority = random.below(8) ? request_priority::Urgent : request_priority::Bulk;
            const auto older = queue.size();
            const auto outcome
                = queue.offer(request(random.below(5), priority, instant::max(), 1 + random.below(5000)), instant());
            if (outcome.number)
                arrivals[outcome.number] = { dispatches, older };
            for (const auto& refused : outcome.refused)
                arrivals.erase(refused.number);
        }
        const auto taken = queue.take(instant());
        if (!taken.request)
            continue;
        ++dispatches;
        const auto [before, older] = arrivals.at(taken.number);
        RC_ASSERT(dispatches - before <= 4 * (older + 1));
        arrivals.erase(taken.number);
        RC_ASSERT(queue.size() <= capacity);
        RC_ASSERT(queue.size() == arrivals.size());
    }
}

TEST(request_queue, large_team_cannot_displace_a_small_one)
{
    auto queue = queueOf(50);
    for (int count = 0; count < 60; ++count)
        queue.offer(request(0, request_priority::Normal, at(100'000)), at(0));
    const auto small = queue.offer(request(1, request_priority::Normal, at(100'000)), at(0));
    ASSERT_NE(small.number, 0u);
    ASSERT_EQ(small.refused.size(), 1u);
    EXPECT_EQ(small.refused[0].key.team, team(0));
    EXPECT_GT(small.refused[0].retryAfter.count(), 0);
    const auto large = queue.offer(request(0, request_priority::Normal, at(100'000)), at(0));
    EXPECT_EQ(large.number, 0u);
    std::set<queue_number> early;
    for (int count = 0; count < 3; ++count)
        early.insert(queue.take(at(1)).number);
    EXPECT_TRUE(early.count(small.number));
}

TEST(request_queue, teams_share_by_tokens)
{
    auto queue = queueOf(400);
    for (int count = 0; count < 100; ++count) {
        queue.offer(request(0, request_priority::Normal, at(100'000), 300), at(0));
        queue.offer(request(1, request_priority::Normal, at(100'000), 100), at(0));
    }
    std::map<team_id, int> tokens;
    for (int count = 0; count < 80; ++count) {
        const auto taken = queue.take(at(0));
        tokens[taken.request->key.team] += static_cast<int>(taken.request->cost);
    }
    // The oldest-request dispatches alternate between the teams and so favour the larger requests by up to a quarter.
    EXPECT_NEAR(static_cast<double>(tokens[team(0)]) / tokens[team(1)], 1.0, 0.35);
}

TEST(request_queue, urgent_first_and_full_queue_sheds_the_lowest_priority)
{
    auto queue = queueOf(2);
    const auto bulk = queue.offer(request(0, request_priority::Bulk, at(100'000)), at(0));
    queue.offer(request(0, request_priority::Normal, at(100'000)), at(0));
    const auto urgent = queue.offer(request(0, request_priority::Urgent, at(100'000)), at(0));
    ASSERT_EQ(urgent.refused.size(), 1u);
    EXPECT_EQ(urgent.refused[0].number, bulk.number);
    EXPECT_EQ(urgent.refused[0].kind, error_kind::Overloaded);
    EXPECT_EQ(queue.offer(request(1, request_priority::Bulk, at(100'000)), at(0)).number, 0u);
    EXPECT_EQ(queue.take(at(1)).number, urgent.number);
}

TEST(request_queue, cancelled_and_expired_requests_are_not_dispatched)
{
    auto queue = queueOf(10);
    const auto cancelled = queue.offer(request(0, request_priority::Normal, at(1'000)), at(0));
    const auto expired = queue.offer(request(0, request_priority::Normal, at(500)), at(0));
    const auto kept = queue.offer(request(0, request_priority::Normal, at(2'000)), at(0));
    EXPECT_TRUE(queue.cancel(cancelled.number));
    EXPECT_FALSE(queue.cancel(cancelled.number));
    EXPECT_EQ(queue.nextDeadline(), at(500));
    const auto taken = queue.take(at(500));
    EXPECT_EQ(taken.number, kept.number);
    ASSERT_EQ(taken.refused.size(), 1u);
    EXPECT_EQ(taken.refused[0].number, expired.number);
    EXPECT_EQ(taken.refused[0].kind, error_kind::QueueTimeout);
    EXPECT_FALSE(queue.take(at(600)).request);
}

TEST(request_queue, refuses_early_when_the_deadline_cannot_be_met)
{
    auto queue = queueOf(100);
    for (int count = 0; count < 40; ++count)
        queue.offer(request(0, request_priority::Normal, at(100'000)), at(0));
    for (int count = 1; count <= 30; ++count)
        queue.take(at(count * 100)); // ten a second
    const auto refusedEarly = queue.offer(request(0, request_priority::Normal, at(3'500)), at(3'000));
    EXPECT_EQ(refusedEarly.number, 0u);
    ASSERT_EQ(refusedEarly.refused.size(), 1u);
    EXPECT_GE(refusedEarly.refused[0].retryAfter, milliseconds(500));
    EXPECT_NE(queue.offer(request(0, request_priority::Normal, at(9'000)), at(3'000)).number, 0u);
    EXPECT_NE(queue.offer(request(1, request_priority::Normal, at(3'500)), at(3'000)).number, 0u);
}

// Failure: a permanently high load of the upper priorities shuts bulk requests out.
TEST(request_queue, excluded_low_priority_is_still_served_periodically)
{
    auto queue = queueOf(100);
    const auto bulk = queue.offer(request(0, request_priority::Bulk, at(100'000)), at(0));
    EXPECT_FALSE(queue.take(at(0), request_priority::Urgent).request);
    for (int count = 0; count < 10; ++count)
        queue.offer(request(1, request_priority::Urgent, at(100'000)), at(0));
    for (int count = 0; count < 3; ++count)
        EXPECT_NE(queue.take(at(0), request_priority::Urgent).number, bulk.number);
    EXPECT_EQ(queue.take(at(0), request_priority::Urgent).number, bulk.number);
}

// Failure: a request that finds no target loses its turn to later ones.
TEST(request_queue, requeued_request_keeps_its_order)
{
    auto queue = queueOf(10);
    const auto first = queue.offer(request(0, request_priority::Normal, at(100'000)), at(0));
    queue.offer(request(0, request_priority::Normal, at(100'000)), at(0));
    for (int count = 0; count < 6; ++count) {
        auto taken = queue.take(at(count));
        ASSERT_EQ(taken.number, first.number);
        queue.requeue(taken);
    }
    EXPECT_EQ(queue.size(), 2u);
}

// Failure: an overload fills the queue up to the deadlines, so that all are served late and the backlog outlasts it.
TEST(request_queue, standing_queue_is_kept_short_and_fair)
{
    request_queue queue({}, seeded_random(1));
    for (int count = 0; count < 60; ++count)
        queue.offer(request(0, request_priority::Normal, at(20'000)), at(0));
    int time = 0;
    for (int count = 1; count <= 30; ++count)
        queue.take(at(time = count * 50));
    const auto large = queue.offer(request(0, request_priority::Normal, at(20'000)), at(time));
    EXPECT_EQ(large.number, 0u);
    const auto small = queue.offer(request(1, request_priority::Normal, at(20'000)), at(time));
    ASSERT_NE(small.number, 0u);
    ASSERT_EQ(small.refused.size(), 1u);
    EXPECT_EQ(small.refused[0].key.team, team(0));
    EXPECT_NE(queue.offer(request(0, request_priority::Urgent, at(20'000)), at(time)).number, 0u);
    while (queue.size())
        queue.take(at(time += 50));
    queue.offer(request(0, request_priority::Normal, at(20'000)), at(time));
    queue.take(at(time)); // served at once: no longer overloaded
    for (int count = 0; count < 40; ++count)
        EXPECT_NE(queue.offer(request(0, request_priority::Normal, at(20'000)), at(time)).number, 0u);
}

TEST(request_queue, empty_queue_accepts_requests_after_dispatches_stopped)
{
    auto queue = queueOf(10);
    queue.offer(request(0, request_priority::Normal, at(20'000)), at(0));
    EXPECT_EQ(queue.offer(request(0, request_priority::Normal, at(11'000)), at(10'000)).number, 0u);
    queue.take(at(10'000));
    // An empty queue accepts whatever it believed before.
    EXPECT_NE(queue.offer(request(0, request_priority::Normal, at(11'000)), at(10'100)).number, 0u);
}

// Failure: requests that find no place again and again look like fast dispatches, and callers are promised short waits.
TEST(request_queue, requeued_request_does_not_shorten_the_expected_wait)
{
    auto queue = queueOf(100);
    for (int count = 0; count < 50; ++count)
        queue.offer(request(1, request_priority::Normal, instant::max()), at(0));
    int now = 0;
    for (int dispatch = 0; dispatch < 20; ++dispatch)
        queue.take(at(now += 1'000));
    const auto before = queue.expectedWait(team(1), request_priority::Normal, at(now));
    for (int attempt = 0; attempt < 9; ++attempt)
        queue.requeue(queue.take(at(now += 100)));
    EXPECT_GE(queue.expectedWait(team(1), request_priority::Normal, at(now)), before * 9 / 10);
}
