// Guards against answers that are lost because the target gave them before it had read the whole request.
#include "core/test/ample_memory.h"
#include "node/test/tcp_handle.h"
#include "targets/call_abort.h"
#include "targets/http_exchange.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <thread>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyBytes = 32 << 20; // far more than the kernel's buffers hold
constexpr auto Limit = 20'000ms;

const std::string Refusal = "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 8\r\n\r\ntoo long";
const std::string Success = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

/// Makes an exchange with a target that has read only the beginning of the request.
/// \param serve gets the connection, and what becomes ready when the exchange has ended
buffered_response exchangeWith(const std::function<void(tcp_handle&, std::future<void>)>& serve)
{
    const auto listener = tcp_handle::listening();
    std::promise<void> ended;
    std::thread target([&] {
        auto connection = listener.accept();
        EXPECT_TRUE(connection.waitReadable());
        serve(connection, ended.get_future());
    });
    call_abort abort;
    auto response = exchangeBuffered("127.0.0.1:" + std::to_string(listener.localPort()),
        { "POST", "/", {}, std::string(BodyBytes, 'a') }, { Limit, Limit, Limit }, 4096, ampleMemory(), abort);
    ended.set_value();
    target.join();
    return response;
}

void expectRefusal(const buffered_response& response)
{
    EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
    EXPECT_EQ(response.status, 413);
    EXPECT_EQ(response.body, "too long");
}

} // namespace

TEST(early_answers, an_answer_before_a_reset_is_read)
{
    expectRefusal(exchangeWith([](tcp_handle& connection, std::future<void>) {
        connection.write(Refusal);
        connection.reset();
    }));
}

TEST(early_answers, an_answer_before_a_close_is_read)
{
    expectRefusal(exchangeWith([](tcp_handle& connection, std::future<void>) {
        connection.write(Refusal);
        connection.shutdown();
    }));
}

TEST(early_answers, a_refusal_is_read_while_the_target_reads_no_further)
{
    expectRefusal(exchangeWith([](tcp_handle& connection, std::future<void> ended) {
        connection.write(Refusal);
        EXPECT_EQ(ended.wait_for(Limit / 2), std::future_status::ready);
    }));
}

TEST(early_answers, a_request_whose_target_reads_on_after_its_answer_is_sent_whole)
{
    std::size_t received = 0;
    const auto response = exchangeWith([&received](tcp_handle& connection, std::future<void>) {
        connection.write(Success);
        std::this_thread::sleep_for(300ms); // the sender waits meanwhile
        received = connection.readAll().size();
    });
    EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
    EXPECT_EQ(response.body, "done");
    EXPECT_GT(received, BodyBytes);
}

TEST(early_answers, an_answer_without_length_before_a_reset_does_not_count_as_whole)
{
    const auto response = exchangeWith([](tcp_handle& connection, std::future<void>) {
        connection.write("HTTP/1.1 200 OK\r\n\r\nbegin");
        connection.reset();
    });
    EXPECT_EQ(response.result.end, exchange_end::Lost) << response.result.detail;
}

TEST(early_answers, a_part_of_an_answer_before_a_reset_does_not_count_as_whole)
{
    const std::string answers[] = {
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nbegin",
        "HTTP/1.0 200 OK\r\n\r\nbegin",
        "HTTP/1.1 206 Partial Content\r\n\r\nbegin",
        "HTTP/1.1 404 Not Found\r\n\r\nbegin",
        "HTTP/1.1 500 Internal Server Error\r\n\r\nbegin",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbegin",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nbegin",
    };
    for (const auto& answer : answers) {
        for (const auto delay : { 0ms, 60ms }) {
            const auto response = exchangeWith([&](tcp_handle& connection, std::future<void>) {
                connection.write(answer);
                std::this_thread::sleep_for(delay); // the sender waits meanwhile
                connection.reset();
            });
            EXPECT_EQ(response.result.end, exchange_end::Lost) << answer << " " << response.result.detail;
        }
    }
}

TEST(early_answers, a_reset_while_the_request_is_written_does_not_end_an_answer)
{
    for (const std::size_t readBytes : { 1, 65'536, 1'048'576, 8'388'608 }) {
        for (int sent = 0; sent < 10; ++sent) {
            const auto response = exchangeWith([readBytes](tcp_handle& connection, std::future<void>) {
                connection.write("HTTP/1.1 200 OK\r\n\r\nbegin");
                connection.read(readBytes);
                connection.reset();
            });
            EXPECT_EQ(response.result.end, exchange_end::Lost) << readBytes << " " << response.result.detail;
        }
    }
}

TEST(early_answers, a_connection_that_is_reset_without_an_answer_is_lost)
{
    const auto response = exchangeWith([](tcp_handle& connection, std::future<void>) { connection.reset(); });
    EXPECT_EQ(response.result.end, exchange_end::Lost) << response.result.detail;
}
