// Guards against requests that end without an answer, or that are run and cut, when a node stops as planned: each
// request gets its answer or a refusal that is true.
#include "node/test/node_fixture.h"
#include "node/test/tcp_handle.h"

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
    std::thread slowCall(std::chrono::milliseconds time, buffered_response& response)
    {
        EXPECT_EQ(m_service.applyFaults(R"({"delay_ms":)" + std::to_string(time.count()) + R"(,"calls":1})"), "");
        std::thread caller([this, &response] { response = call("POST", "slow", "{}"); });
        while (!m_service.runs())
            std::this_thread::sleep_for(5ms);
        return caller;
    }

    std::thread m_stopping;
    std::atomic<bool> m_finished { false };
};

TEST_F(planned_stop_test, the_body_of_a_refused_request_is_not_taken_for_a_request)
{
    buffered_response slow;
    auto caller = slowCall(1000ms, slow);
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
