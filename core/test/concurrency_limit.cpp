// Guards that the limit follows latency, reacts to a lost zone, sheds by priority, and never stays down after an
// overload or a cold start.
#include "core/concurrency_limit.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

// One second of a group whose latency depends on the requests beyond its true capacity.
void runSecond(concurrency_limit& limit, int& time, double capacity, bool overloaded)
{
    for (int sample = 0; sample < 10; ++sample) {
        while (limit.inFlight())
            limit.recordFinished();
        const double offered = overloaded ? 1e9 : capacity * 0.5;
        while (limit.admits(request_priority::Urgent) && limit.inFlight() < offered)
            limit.recordDispatch();
        const double excess = std::max(0.0, limit.inFlight() - capacity) / capacity;
        time += 100;
        limit.recordLatency(milliseconds(static_cast<int>(100 + 3000 * excess)), instant(milliseconds(time)));
    }
}

} // namespace

TEST(concurrency_limit, tracks_falling_and_rising_capacity)
{
    concurrency_limit limit;
    limit.setCapacity(24, 384);
    int time = 0;
    for (int second = 0; second < 20; ++second)
        runSecond(limit, time, 300, true);
    EXPECT_NEAR(limit.limit(), 300, 60);
    for (int second = 0; second < 20; ++second)
        runSecond(limit, time, 100, true);
    EXPECT_NEAR(limit.limit(), 100, 30);
    for (int second = 0; second < 30; ++second)
        runSecond(limit, time, 300, true);
    EXPECT_NEAR(limit.limit(), 300, 60);
}

// Failure: streams end slowly, so that cuts in every window add up to idle targets before the first takes effect.
TEST(concurrency_limit, not_lowered_again_before_the_last_decrease_took_effect)
{
    concurrency_limit limit;
    limit.setCapacity(10, 160);
    for (int count = 0; count < 120; ++count)
        limit.recordDispatch();
    for (int time = 0; time < 10'000; time += 50)
        limit.recordLatency(milliseconds(3'000), instant(milliseconds(time)));
    EXPECT_NEAR(limit.limit(), 108, 1);
}

TEST(concurrency_limit, lost_zone_lowers_the_limit_immediately)
{
    concurrency_limit limit;
    limit.setCapacity(24, 384);
    const double before = limit.limit();
    limit.setCapacity(18, 288);
    EXPECT_DOUBLE_EQ(limit.limit(), before * 0.75);
}

TEST(concurrency_limit, limit_recovers_after_cold_start)
{
    concurrency_limit limit;
    limit.setCapacity(8, 128);
    for (int time = 0; time < 20'000; time += 100)
        limit.recordLatency(milliseconds(10'000), instant(milliseconds(time)));
    EXPECT_GE(limit.limit(), 16);
    // No samples at all: it returns towards the initial limit of 96.
    for (int time = 20'000; time < 120'000; time += 100)
        limit.update(instant(milliseconds(time)));
    EXPECT_GT(limit.limit(), 90);
}

// Failure: 8 nodes that share 24 targets with batches of 4 each keep 48 requests in flight for 96 places.
TEST(concurrency_limit, minimum_stays_within_its_share_of_the_batch_slots)
{
    concurrency_limit limit;
    limit.setCapacity(24, 12);
    for (int time = 0; time < 20'000; time += 50)
        limit.recordLatency(milliseconds(10'000), instant(milliseconds(time)));
    EXPECT_LE(limit.limit(), 12);
    EXPECT_GE(limit.limit(), 3);
}

TEST(concurrency_limit, unused_limit_does_not_grow)
{
    concurrency_limit limit;
    limit.setCapacity(24, 384);
    const double before = limit.limit();
    int time = 0;
    for (int second = 0; second < 20; ++second)
        runSecond(limit, time, 300, false);
    EXPECT_DOUBLE_EQ(limit.limit(), before);
}

TEST(concurrency_limit, low_priorities_are_shed_first_but_never_starved)
{
    concurrency_limit limit;
    limit.setCapacity(10, 160); // limit 120
    for (int count = 0; count < 108; ++count)
        limit.recordDispatch();
    EXPECT_FALSE(limit.admits(request_priority::Bulk));
    EXPECT_TRUE(limit.admits(request_priority::Normal));
    for (int count = 0; count < 8; ++count)
        limit.recordDispatch();
    EXPECT_FALSE(limit.admits(request_priority::Normal));
    EXPECT_TRUE(limit.admits(request_priority::Urgent));
    concurrency_limit smallest;
    smallest.setCapacity(0, 0);
    EXPECT_TRUE(smallest.admits(request_priority::Bulk));
}
