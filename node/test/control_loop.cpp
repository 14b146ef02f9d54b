// Guards against limits that are judged before an answer that has already arrived, because the control loop runs late.
#include "node/control_loop.h"

#include <gtest/gtest.h>

#include <chrono>
#include <future>

using namespace oriolepick;
using namespace std::chrono_literals;

TEST(control_loop, work_posted_while_the_loop_is_held_up_runs_before_a_limit_that_passed_meanwhile)
{
    std::promise<bool> judged;
    control_loop loop;
    std::optional<instant> limit; // of the loop's thread
    bool answered = false;
    loop.whenDue([&] { return limit; },
        [&](instant) {
            limit.reset();
            judged.set_value(answered);
        });
    loop.start();
    loop.post([&](instant now) {
        limit = now;
        loop.post([&](instant) { answered = true; });
    });
    EXPECT_TRUE(judged.get_future().get());
}

TEST(control_loop, timers_run_although_work_is_posted_without_end)
{
    std::promise<void> ran;
    bool done = false; // of the loop's thread
    control_loop loop;
    loop.every(1h, [&](instant) {
        done = true;
        ran.set_value();
    });
    const control_loop::task repost = [&](instant) {
        if (!done)
            loop.post(repost);
    };
    loop.post(repost);
    loop.start();
    ran.get_future().get();
    loop.stop();
    SUCCEED();
}
