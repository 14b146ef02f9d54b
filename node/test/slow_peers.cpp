// Guards against callers and targets that read slowly being given up like those that read nothing (review/12).
#include "core/test/ample_memory.h"
#include "node/caller_stream.h"
#include "node/plain_channel.h"
#include "node/test/tcp_handle.h"
#include "targets/call_abort.h"
#include "targets/http_exchange.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <future>
#include <thread>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Bytes = 8'000'000; // more than the kernel's buffers hold
constexpr auto Limit = 600ms;
constexpr auto SlowTime = 2s;

tcp_handle listeningWithSmallWindow()
{
    auto listener = tcp_handle::listening();
    const int bytes = 4'096;
    ::setsockopt(listener.descriptor(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    return listener;
}

/// Takes little for longer than the limit, far less than a writer waits for before its socket is writable again.
/// \return bytes taken
std::size_t takeSlowly(const tcp_handle& connection)
{
    std::size_t taken = 0;
    const auto end = std::chrono::steady_clock::now() + SlowTime;
    while (std::chrono::steady_clock::now() < end) {
        taken += connection.read(1).size();
        std::this_thread::sleep_for(10ms);
    }
    return taken;
}

/// \return how many of \p Bytes a caller_stream writes to \p peer
std::size_t writtenTo(const tcp_handle& connection)
{
    ::fcntl(connection.descriptor(), F_SETFL, ::fcntl(connection.descriptor(), F_GETFL, 0) | O_NONBLOCK);
    plain_channel channel(connection.descriptor());
    const std::atomic<bool> cut { false };
    caller_stream stream(channel, Limit, Limit, cut);
    const std::string bytes(Bytes, 'a');
    std::size_t written = 0;
    while (written < Bytes) {
        const auto count = stream.write(bytes.data() + written, Bytes - written);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    return written;
}

} // namespace

TEST(slow_peers, a_caller_that_takes_a_little_gets_the_whole_answer)
{
    const auto listener = listeningWithSmallWindow();
    const auto node = tcp_handle::connected("127.0.0.1:" + std::to_string(listener.localPort()));
    const auto caller = listener.accept();
    auto written = std::async(std::launch::async, [&node] {
        const auto count = writtenTo(node);
        node.endOutput(); // so that a caller that misses bytes does not wait for them
        return count;
    });
    const auto taken = takeSlowly(caller);
    EXPECT_EQ(taken + caller.read(Bytes - taken).size(), Bytes);
    EXPECT_EQ(written.get(), Bytes);
}

TEST(slow_peers, a_caller_that_takes_nothing_is_given_up)
{
    const auto listener = listeningWithSmallWindow();
    const auto node = tcp_handle::connected("127.0.0.1:" + std::to_string(listener.localPort()));
    const auto caller = listener.accept();
    EXPECT_LT(writtenTo(node), Bytes);
}

TEST(slow_peers, a_target_that_takes_a_little_gets_the_whole_request)
{
    const auto listener = listeningWithSmallWindow();
    std::thread target([&listener] {
        const auto connection = listener.accept();
        const auto taken = takeSlowly(connection);
        (void)connection.read(Bytes - taken);
        connection.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        (void)connection.readAll();
    });
    call_abort abort;
    const auto response = exchangeBuffered("127.0.0.1:" + std::to_string(listener.localPort()),
        { "POST", "/", {}, std::string(Bytes, 'a') }, { Limit, Limit, {} }, Bytes, ampleMemory(), abort);
    EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
    EXPECT_EQ(response.body, "ok");
    target.join();
}

TEST(slow_peers, a_target_that_takes_nothing_is_given_up_with_the_reason)
{
    const auto listener = listeningWithSmallWindow();
    call_abort abort;
    const auto response = exchangeBuffered("127.0.0.1:" + std::to_string(listener.localPort()),
        { "POST", "/", {}, std::string(Bytes, 'a') }, { Limit, Limit, {} }, Bytes, ampleMemory(), abort);
    EXPECT_EQ(response.result.end, exchange_end::TimedOut);
    EXPECT_NE(response.result.detail.find("takes nothing"), std::string::npos) << response.result.detail;
}
