// Guards against requests that get no answer because a ticket or the store changes while they are under way.
#include "core/ticket.h"
#include "node/test/node_fixture.h"
#include "node/test/stream_tokens.h"

#include <future>

using namespace oriolepick;
using namespace std::chrono_literals;

class changes_under_way_test : public node_fixture {
protected:
    /// Files ticket 2 with one object of fleet "one", and waits until it is in force.
    void change(const std::string& object)
    {
        http_table_service table(m_settings.platformAddress);
        const auto head = table.read("ticket-head", 5s).value().value();
        const auto text = R"({"ticket":2,"operator":"o","note":"n","objects":[)" + object + "]}";
        const auto outcome = table.commit({ { { head.key, head.version }, { ticketRowKey(2), std::nullopt } },
                                              { { ticketRowKey(2), text }, { head.key, "2" } } },
            5s);
        ASSERT_TRUE(outcome && outcome.value().committed);
        waitUntil("/v1/admin/status", "\"ticket\":2");
    }

    void postToPlatform(const std::string& path, const std::string& body = {}) const
    {
        call_abort abort;
        ASSERT_EQ(
            exchangeBuffered(m_settings.platformAddress,
                { "POST", path, { { "Content-Type", "application/json" } }, body }, {}, 4096, ampleMemory(), abort)
                .status,
            200);
    }

    /// Sends a call without a key that runs for \p time.
    std::future<buffered_response> callUnderWay(const char* method, std::chrono::milliseconds time)
    {
        EXPECT_EQ(m_service.applyFaults(R"({"delay_ms":)" + std::to_string(time.count()) + "}"), "");
        auto answer = std::async(std::launch::async, [this, method] { return call(method, "", "{}"); });
        while (!m_service.runs())
            std::this_thread::sleep_for(5ms);
        return answer;
    }
};

TEST_F(changes_under_way_test, a_repeatable_call_keeps_the_time_limit_under_which_it_was_sent)
{
    auto answer = callUnderWay("GET", 2000ms);
    change(R"({"kind":"service","fleet":"one","name":"booking","state":{"targets":["one/s1"],"methods":[
        {"method":"GET","repeatable":true,"time_limit_ms":100},
        {"method":"POST","repeatable":false,"time_limit_ms":5000}]}})");
    const auto response = answer.get();
    EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
    EXPECT_EQ(response.status, 200) << response.body;
}

TEST_F(changes_under_way_test, a_call_that_runs_once_keeps_the_time_limit_under_which_it_was_sent)
{
    auto answer = callUnderWay("POST", 2000ms);
    change(R"({"kind":"service","fleet":"one","name":"booking","state":{"targets":["one/s1"],"methods":[
        {"method":"GET","repeatable":true,"time_limit_ms":5000},
        {"method":"POST","repeatable":false,"time_limit_ms":100}]}})");
    const auto response = answer.get();
    EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
    EXPECT_EQ(response.status, 200) << response.body;
    const auto late = call("POST", "", "{}");
    EXPECT_EQ(late.status, 504) << "the new limit applies to new calls: " << late.body;
}

TEST_F(changes_under_way_test, a_stream_goes_on_when_its_key_is_withdrawn)
{
    constexpr const char* Streamed
        = R"({"model":"manuals","prompt":"how [length=400]","max_tokens":400,"seed":7,"stream":true})";
    ASSERT_EQ(m_engine.faults().apply(R"({"slow_factor":10})"), "");
    auto answer = std::async(std::launch::async, [this, Streamed] { return complete(Streamed); });
    waitUntil("/v1/admin/status", "\"open_requests\":1");
    change(R"({"kind":"team","fleet":"one","name":"bench","state":{"token_sha256":[")" + sha256Hex("other")
        + R"("],"requests_per_second":1000}})");
    ASSERT_NE(answer.wait_for(0s), std::future_status::ready) << "the stream ended before the key was withdrawn";
    EXPECT_EQ(complete(Streamed).status, 401);
    const auto response = answer.get();
    EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
    EXPECT_EQ(tokensOf(response.body).size(), 400u);
}

TEST_F(changes_under_way_test, calls_without_a_key_are_answered_while_the_store_is_away)
{
    for (const char* method : { "GET", "POST" }) {
        SCOPED_TRACE(method);
        const auto runs = m_service.runs();
        EXPECT_EQ(m_service.applyFaults(R"({"delay_ms":1000})"), "");
        auto answer = std::async(std::launch::async, [this, method] { return call(method, "", "{}"); });
        while (m_service.runs() == runs)
            std::this_thread::sleep_for(5ms);
        postToPlatform("/faults", R"({"service":"table","down":true})");
        const auto response = answer.get();
        EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
        EXPECT_EQ(response.status, 200) << response.body;
        postToPlatform("/faults", R"({"service":"table","down":false})");
    }
}

TEST_F(changes_under_way_test, a_call_without_a_key_is_answered_when_the_store_comes_back_without_its_row)
{
    postToPlatform("/copy");
    auto answer = callUnderWay("POST", 1000ms);
    postToPlatform("/restore");
    const auto response = answer.get();
    EXPECT_EQ(response.result.end, exchange_end::Complete) << response.result.detail;
    EXPECT_EQ(response.status, 200) << response.body;
    EXPECT_EQ(m_service.runs(), 1u);
}
