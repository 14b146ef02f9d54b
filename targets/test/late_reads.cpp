// Guards against targets that count as silent because this node reads late what has arrived in time.
#include "core/test/ample_memory.h"
#include "node/test/tcp_handle.h"
#include "targets/call_abort.h"
#include "targets/http_exchange.h"

#include <gtest/gtest.h>

#include <future>
#include <thread>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t BodyBytes = 30'000; // several reads
constexpr auto Total = 1500ms;

std::string head(std::size_t bodyBytes)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
}

/// Makes an exchange whose reading thread is held up, after the head, until the limit has passed.
/// \param answer writes the response
/// \param bytes receives the size of the body that was read
exchange_result exchangeHeldUp(const std::function<void(const tcp_handle&)>& answer, std::size_t& bytes)
{
    const auto listener = tcp_handle::listening();
    std::promise<void> written;
    std::promise<void> read;
    std::thread target([&] {
        const auto connection = listener.accept();
        (void)connection.readMessage();
        answer(connection);
        written.set_value();
        read.get_future().wait();
    });
    const response_handlers handlers {
        [&](int, const header_list&) {
            written.get_future().wait();
            std::this_thread::sleep_for(Total + 100ms);
            return true;
        },
        [&](std::string_view piece) {
            bytes += piece.size();
            return true;
        },
    };
    call_abort abort;
    const auto result = exchange("127.0.0.1:" + std::to_string(listener.localPort()), { "GET", "/", {}, {} },
        { Total, Total, Total }, handlers, abort);
    read.set_value();
    target.join();
    return result;
}

} // namespace

TEST(late_reads, a_response_that_has_arrived_is_read_after_its_limit)
{
    std::size_t bytes = 0;
    const auto result = exchangeHeldUp(
        [](const tcp_handle& connection) { connection.write(head(BodyBytes) + std::string(BodyBytes, 'a')); }, bytes);
    EXPECT_EQ(result.end, exchange_end::Complete) << result.detail;
    EXPECT_EQ(bytes, BodyBytes);
}

TEST(late_reads, a_response_that_has_arrived_in_part_ends_as_timed_out_with_what_has_arrived)
{
    std::size_t bytes = 0;
    const auto result = exchangeHeldUp(
        [](const tcp_handle& connection) { connection.write(head(2 * BodyBytes) + std::string(BodyBytes, 'a')); },
        bytes);
    EXPECT_EQ(result.end, exchange_end::TimedOut) << result.detail;
    EXPECT_EQ(bytes, BodyBytes);
}

TEST(late_reads, an_end_that_has_arrived_is_found_after_the_limit)
{
    std::size_t bytes = 0;
    const auto result = exchangeHeldUp(
        [](const tcp_handle& connection) {
            connection.write(head(2 * BodyBytes) + std::string(BodyBytes, 'a'));
            connection.shutdown();
        },
        bytes);
    EXPECT_EQ(result.end, exchange_end::Lost) << result.detail;
    EXPECT_EQ(bytes, BodyBytes);
}
