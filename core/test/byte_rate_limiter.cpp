// Guards against a node that spends its whole link on what many others ask of it at once.
#include "core/byte_rate_limiter.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

TEST(byte_rate_limiter, accepts_what_can_be_sent_in_time)
{
    instant now { 1000s };
    byte_rate_limiter pace(1'000'000, 300ms);
    int taken = 0;
    for (int asked = 0; asked < 100; ++asked)
        taken += pace.tryTake(100'000, now);
    EXPECT_EQ(taken, 4) << "0.3 s of backlog, and the one that exceeds it";
    now += 1s;
    EXPECT_TRUE(pace.tryTake(100'000, now));
}

TEST(byte_rate_limiter, single_large_message_is_accepted_without_backlog)
{
    byte_rate_limiter pace(1'000, 1ms);
    EXPECT_TRUE(pace.tryTake(10'000'000, instant(1000s)));
    EXPECT_FALSE(pace.tryTake(1, instant(1001s)));
}

} // namespace
