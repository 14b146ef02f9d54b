// Guards against a store that counts as unavailable, and commits whose outcome counts as unknown, though the whole
// response is there when the limit is judged.
#include "node/test/tcp_handle.h"
#include "ports/http_exchange.h"

#include <gtest/gtest.h>

#include <thread>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr auto Timeout = 2000ms;

/// Sends one request to a server that writes its response in \p pieces, each most of a limit after the one before.
result<http_response> sendTo(const std::vector<std::string>& pieces)
{
    const auto listener = tcp_handle::listening();
    std::thread server([&] {
        const auto connection = listener.accept();
        (void)connection.readMessage();
        for (const auto& piece : pieces) {
            if (!connection.write(piece))
                return;
            std::this_thread::sleep_for(Timeout * 6 / 10);
        }
    });
    http_exchange store("http://127.0.0.1:" + std::to_string(listener.localPort()), 1 << 20);
    auto response = store.send({ "GET", "/row", {}, {} }, Timeout);
    server.join();
    return response;
}

const std::string Head = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n";

} // namespace

TEST(late_responses, a_response_that_is_whole_is_used)
{
    const auto response = sendTo({ Head + "ab", "cd", "ef" });
    ASSERT_TRUE(response) << response.error().message;
    EXPECT_EQ(response.value().body, "abcdef");
}

TEST(late_responses, a_response_that_goes_on_is_ended_at_the_limit)
{
    EXPECT_FALSE(sendTo({ Head + "a", "b", "c", "d" }));
}
