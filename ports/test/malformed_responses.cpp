// Guards against responses of the platform that are not HTTP and count as what it answered.
#include "node/test/tcp_handle.h"
#include "ports/http_exchange.h"

#include <gtest/gtest.h>

#include <thread>

using namespace oriolepick;

namespace {

result<http_response> sendTo(const std::string& answer)
{
    const auto listener = tcp_handle::listening();
    std::thread platform([&] {
        const auto connection = listener.accept();
        (void)connection.readMessage();
        connection.write(answer);
    });
    http_exchange exchange("http://127.0.0.1:" + std::to_string(listener.localPort()), 1 << 20);
    auto response = exchange.send({ "GET", "/row", {}, {} }, std::chrono::seconds(10));
    platform.join();
    return response;
}

} // namespace

TEST(malformed_responses, a_response_that_is_not_http_is_lost)
{
    for (const std::string answer : { "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
             "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}",
             "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
             "HTTP/1.1 404 Not Found\r\nX-\x01Odd: 1\r\nContent-Length: 2\r\n\r\n{}",
             "HTTP/1.1 200 OK\r\nContent Length: 1\r\n\r\n{}",
             "HTTP/1.1 200 OK\r\n Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nX-Odd: a\x01\r\nContent-Length: 2\r\n\r\n{}" }) {
        const auto response = sendTo(answer);
        if (response)
            ADD_FAILURE() << answer << " read as " << response.value().status << " " << response.value().body;
        else
            EXPECT_EQ(response.error().kind, error_kind::PlatformUnknown) << answer;
    }
}

TEST(malformed_responses, a_whole_response_is_used)
{
    for (const std::string answer : { "HTTP/1.1 200 OK\r\nStore-Epoch: e1\r\nContent-Length: 2\r\n\r\n{}",
             "HTTP/1.1 200 OK\r\nStore-Epoch:e1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n" }) {
        const auto response = sendTo(answer);
        ASSERT_TRUE(response) << answer << response.error().message;
        EXPECT_EQ(response.value().body, "{}");
        EXPECT_EQ(response.value().storeEpoch, "e1");
    }
}
