// Guards against a whole request that gets neither an answer nor a refusal because it arrived together with the request
// before it on the same connection.
#include "node/test/http_answers.h"
#include "node/test/node_fixture.h"
#include "node/test/tcp_handle.h"

#include <string>
#include <thread>
#include <vector>

using namespace oriolepick;

class pipelined_requests_test : public node_fixture {
protected:
    /// \param pieces written with a pause between them
    std::string answersTo(const std::vector<std::string>& pieces, bool endOutput = false) const
    {
        const auto connection = tcp_handle::connected(m_settings.callersListen);
        for (const auto& piece : pieces) {
            if (&piece != &pieces.front())
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            EXPECT_TRUE(connection.write(piece));
        }
        if (endOutput)
            connection.endOutput();
        return connection.readAll();
    }
};

TEST_F(pipelined_requests_test, each_request_of_one_segment_gets_an_answer)
{
    const auto answers = answersTo({ Health + Health });
    const auto first = answers.find("HTTP/1.1 200");
    EXPECT_EQ(first, 0u) << answers;
    EXPECT_NE(answers.find("HTTP/1.1 200", first + 1), std::string::npos) << answers;
}

TEST_F(pipelined_requests_test, each_request_with_a_body_is_run_once)
{
    const auto request = [](const std::string& key) {
        const std::string body(1500, ' '); // the second request is cut by the end of a read
        return "POST /v1/services/booking/orders HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer bench\r\n"
               "Idempotency-Key: "
            + key + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    };
    const auto answers = answersTo({ request("a") + request("b") + request("c") });
    EXPECT_EQ(answersIn(answers), 3u) << answers;
    EXPECT_EQ(m_service.runs(), 3u);
}

TEST_F(pipelined_requests_test, a_connection_that_ends_before_a_request_says_so_in_the_answer_before_it)
{
    std::string requests;
    for (int index = 0; index < 2000; ++index) // more than the kernel hands over at a time
        requests += Health;
    const auto answers = answersTo({ requests });
    EXPECT_EQ(answersIn(answers), 5u);
    EXPECT_GT(answers.rfind("Connection: close"), answers.rfind("HTTP/1.1 200"));
    EXPECT_EQ(answers.substr(answers.size() - 3), "ok\n");
}

TEST_F(pipelined_requests_test, a_body_that_is_not_read_is_not_taken_for_a_request)
{
    const std::string head
        = "GET /healthz HTTP/1.1\r\nHost: node\r\nContent-Length: " + std::to_string(Health.size()) + "\r\n\r\n";
    for (const auto& pieces : { std::vector<std::string> { head, Health }, { head + Health } }) {
        const auto answers = answersTo(pieces);
        EXPECT_EQ(answersIn(answers), 1u) << answers;
        EXPECT_NE(answers.find("Connection: close"), std::string::npos) << answers;
    }
}

TEST_F(pipelined_requests_test, nothing_behind_a_head_that_cannot_be_read_is_taken_for_a_request)
{
    const auto answers = answersTo({ "GET\r\n" + Health });
    EXPECT_EQ(answers.rfind("HTTP/1.1 400", 0), 0u) << answers;
    EXPECT_EQ(answersIn(answers), 1u) << answers;
    EXPECT_NE(answers.find("Connection: close"), std::string::npos) << answers;
}

TEST_F(pipelined_requests_test, requests_are_answered_after_the_caller_ended_its_output)
{
    const auto answers = answersTo({ Health + Health }, true);
    EXPECT_EQ(answersIn(answers), 2u) << answers;
}
