// Guards against time limits that are judged before the response that arrived within them is read, when the event loop
// runs late.
#include "gateway/timer_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <gtest/gtest.h>

#include <thread>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

/// Two connected sockets of the same event loop.
struct connection {
    explicit connection(boost::asio::io_context& loop)
        : near(loop)
        , far(loop)
    {
        boost::asio::local::connect_pair(near, far);
    }

    void onInput(std::function<void()> handler)
    {
        near.async_wait(boost::asio::socket_base::wait_read,
            [handler = std::move(handler)](const boost::system::error_code&) { handler(); });
    }

    void write() { far.send(boost::asio::buffer("x", 1)); }

    boost::asio::local::stream_protocol::socket near;
    boost::asio::local::stream_protocol::socket far;
};

TEST(TimerQueue, InputThatArrivedInTimeIsHandledBeforeTheTimeLimit)
{
    boost::asio::io_context loop;
    timer_queue timers(loop);
    connection target(loop);
    connection other(loop);
    bool responded = false;
    bool judged = false;
    bool respondedInTime = false;
    target.onInput([&] { responded = true; });
    // The handler of another connection takes longer than the time limit; the response arrives at its beginning.
    other.onInput([&] {
        target.write();
        std::this_thread::sleep_for(60ms);
    });
    timers.at(timers.now() + 5ms, [] {});
    timers.at(timers.now() + 30ms, [&] {
        judged = true;
        respondedInTime = responded;
    });
    other.write();
    std::this_thread::sleep_for(10ms); // the first poll of the loop finds the input and an expired timer
    while (!judged)
        loop.run_one();
    EXPECT_TRUE(respondedInTime);
}

TEST(TimerQueue, ActionsRunInTheOrderOfTheirTimes)
{
    boost::asio::io_context loop;
    timer_queue timers(loop);
    std::vector<int> order;
    const auto now = timers.now();
    timers.at(now + 3ms, [&] { order.push_back(3); });
    timers.at(now + 1ms, [&] {
        order.push_back(1);
        timers.at(now, [&] { order.push_back(2); });
    });
    auto cancelled = timers.at(now + 2ms, [&] { order.push_back(-1); });
    timers.cancel(cancelled);
    std::this_thread::sleep_for(5ms);
    loop.run();
    EXPECT_EQ(order, (std::vector<int> { 1, 2, 3 }));
    EXPECT_GE(timers.delay(), 1ms);
}

} // namespace
