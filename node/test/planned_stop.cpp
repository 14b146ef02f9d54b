// Guards against requests that end without an answer, or that are run and cut, when a node stops as planned: each
// request gets its answer or a refusal that is true.
#include "node/test/node_fixture.h"
#include "node/test/tcp_handle.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

/// A call of the service as bytes, for connections that the test keeps itself.
std::string callBytes(const std::string& method, const std::string& key, const std::string& body)
{
    return method + " /v1/services/booking/orders HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer bench\r\n"
        + (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n")
        + "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t occurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

class planned_stop_test : public node_fixture {
protected:
    void configure(settings& changed) override { changed.drainTimeout = m_drainTimeout; }

    void TearDown() override
    {
        if (m_stopping.joinable())
            m_stopping.join();
        m_node.reset();
        node_fixture::TearDown();
    }

    void stopNode()
    {
        m_stopping = std::thread([this] { m_finished = m_node->drainAndStop(); });
        waitUntil("/v1/admin/status", "\"draining\":true");
    }

    /// Sends a call that runs for \p time.
    std::thread slowCall(const char* method, std::chrono::milliseconds time, buffered_response& response)
    {
        EXPECT_EQ(m_service.applyFaults(R"({"delay_ms":)" + std::to_string(time.count()) + "}"), "");
        std::thread caller([this, &response, method] { response = call(method, "slow", "{}"); });
        while (!m_service.runs())
            std::this_thread::sleep_for(5ms);
        return caller;
    }

    static std::string fieldOf(const buffered_response& response, const char* name)
    {
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        return body.is_object() ? body.value("error", nlohmann::json::object()).value(name, "") : std::string();
    }

    std::chrono::milliseconds m_drainTimeout { 10'000 };
    std::thread m_stopping;
    std::atomic<bool> m_finished { false };
};

TEST_F(planned_stop_test, the_body_of_a_refused_request_is_not_taken_for_a_request)
{
    buffered_response slow;
    auto caller = slowCall("POST", 1000ms, slow);
    stopNode();
    const auto connection = tcp_handle::connected(m_settings.callersListen);
    const auto bytes = callBytes("POST", "", "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n");
    const auto headSize = bytes.find("\r\n\r\n") + 4;
    ASSERT_TRUE(connection.write(bytes.substr(0, headSize)));
    std::this_thread::sleep_for(100ms); // a node that does not wait for the body has answered
    connection.write(bytes.substr(headSize));
    const auto answers = connection.readAll();
    EXPECT_EQ(occurrences(answers, "HTTP/1.1 "), 1u) << answers;
    EXPECT_EQ(answers.rfind("HTTP/1.1 503", 0), 0u) << answers;
    EXPECT_NE(answers.find("\"run\":\"not_run\""), std::string::npos) << answers;
    EXPECT_NE(answers.find("Retry-After: "), std::string::npos) << answers;
    EXPECT_EQ(occurrences(answers, "Connection: close"), 1u) << answers;
    EXPECT_EQ(occurrences(answers, "Keep-Alive: "), 0u) << answers;
    caller.join();
    EXPECT_EQ(slow.status, 200) << slow.body;
    m_stopping.join();
    EXPECT_TRUE(m_finished);
}

class short_stop_test : public planned_stop_test {
protected:
    short_stop_test() { m_drainTimeout = 1000ms; }

    /// Stops the node during a call that lasts longer than the stop.
    buffered_response cutCall(const char* method)
    {
        buffered_response response;
        auto caller = slowCall(method, 4000ms, response);
        stopNode();
        caller.join();
        m_stopping.join();
        EXPECT_FALSE(m_finished);
        EXPECT_EQ(m_service.runs(), 1u);
        EXPECT_EQ(response.result.end, exchange_end::Complete);
        EXPECT_EQ(fieldOf(response, "run"), "may_have_run") << response.body;
        return response;
    }
};

TEST_F(short_stop_test, a_call_that_outlasts_the_stop_is_answered_before_its_end)
{
    const auto response = cutCall("POST");
    EXPECT_EQ(fieldOf(response, "code"), "outcome_unknown") << response.body;
}

TEST_F(short_stop_test, a_repeatable_call_that_outlasts_the_stop_is_answered_before_its_end_and_not_sent_again)
{
    const auto response = cutCall("GET");
    EXPECT_EQ(fieldOf(response, "code"), "target_failed") << response.body;
}

TEST_F(short_stop_test, generations_that_outlast_the_stop_are_handed_over_or_refused)
{
    constexpr int Callers = 6;
    std::vector<buffered_response> responses(Callers);
    std::vector<std::thread> callers;
    for (int index = 0; index < Callers; ++index) {
        callers.emplace_back([this, index, &response = responses[static_cast<std::size_t>(index)]] {
            const std::string streamed = index % 2 ? "true" : "false";
            do // a new node gets a small share of the team's limit
                response = complete(R"({"model":"manuals","prompt":")" + std::to_string(index)
                    + R"( [length=8000]","max_tokens":8000,"stream":)" + streamed + "}");
            while (response.status == 429);
        });
    }
    waitUntil("/v1/admin/status", "\"open_requests\":" + std::to_string(Callers));
    stopNode();
    for (auto& caller : callers)
        caller.join();
    m_stopping.join();
    EXPECT_FALSE(m_finished);
    for (int index = 0; index < Callers; ++index) {
        const auto& response = responses[static_cast<std::size_t>(index)];
        EXPECT_EQ(response.result.end, exchange_end::Complete) << index;
        if (response.status == 200) {
            EXPECT_NE(response.body.rfind("event: reconnect"), std::string::npos)
                << index << " ends with " << response.body.substr(response.body.size() - 200);
            EXPECT_EQ(response.body.find("[DONE]"), std::string::npos);
        } else {
            EXPECT_EQ(response.status, 503) << response.body;
            const auto code = fieldOf(response, "code");
            const bool known = code == "handed_over" || code == "node_draining" || code == "overloaded";
            EXPECT_TRUE(known) << response.body;
            EXPECT_EQ(fieldOf(response, "run"), code == "handed_over" ? "may_have_run" : "not_run") << response.body;
        }
    }
}

TEST_F(planned_stop_test, connections_that_go_on_sending_get_an_answer_or_nothing_of_theirs_ran)
{
    constexpr int Callers = 12;
    constexpr int MaxCalls = 100'000;
    EXPECT_EQ(m_service.applyFaults(R"({"delay_ms":20})"), "");
    struct seen_call {
        std::string key;
        std::string answer;
    };
    std::vector<std::vector<seen_call>> seen(Callers);
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([this, caller, &calls = seen[static_cast<std::size_t>(caller)]] {
            auto connection = std::make_unique<tcp_handle>(tcp_handle::connected(m_settings.callersListen));
            for (int number = 0; number < MaxCalls && connection->valid(); ++number) {
                const auto key = std::to_string(caller) + "-" + std::to_string(number);
                connection->write(callBytes("POST", key, "{}"));
                calls.push_back({ key, connection->readMessage() });
                const auto& answer = calls.back().answer;
                if (answer.empty() || answer.find("Connection: close") != std::string::npos)
                    connection = std::make_unique<tcp_handle>(tcp_handle::connected(m_settings.callersListen));
            }
        });
    }
    while (m_service.runs() < Callers)
        std::this_thread::sleep_for(1ms);
    m_stopping = std::thread([this] { m_finished = m_node->drainAndStop(); });
    for (auto& caller : callers)
        caller.join();
    m_stopping.join();
    EXPECT_TRUE(m_finished);
    for (const auto& calls : seen) {
        for (const auto& call : calls) {
            const bool answered = call.answer.rfind("HTTP/1.1 200", 0) == 0;
            EXPECT_EQ(m_service.runsOf("one/bench/" + call.key), answered ? 1u : 0u) << call.key << ": " << call.answer;
        }
    }
}
