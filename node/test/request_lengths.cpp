// Guards against requests whose end is misjudged: a body that waits for input that never comes, holds the next request
// or is taken for one, or has no limit.
#include "node/test/http_answers.h"
#include "node/test/node_fixture.h"
#include "node/test/tcp_handle.h"

using namespace oriolepick;
using namespace std::chrono_literals;

class request_lengths_test : public node_fixture {
protected:
    std::string answersTo(const std::string& headers, const std::string& rest) const
    {
        const auto connection = tcp_handle::connected(m_settings.callersListen);
        EXPECT_TRUE(connection.write("POST /v1/services/booking/orders HTTP/1.1\r\nHost: node\r\n"
                                     "Authorization: Bearer bench\r\nContent-Type: application/json\r\n"
            + headers + "\r\n" + rest));
        return connection.readAll();
    }
};

TEST_F(request_lengths_test, a_request_without_length_has_no_body)
{
    const auto begun = std::chrono::steady_clock::now();
    const auto answers = answersTo("", Health);
    EXPECT_EQ(answers.rfind("HTTP/1.1 200", 0), 0u) << answers;
    EXPECT_EQ(answersIn(answers), 2u) << answers;
    EXPECT_EQ(m_service.runs(), 1u);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 8s) << "waited for a body";
}

TEST_F(request_lengths_test, an_unclear_length_is_refused_and_nothing_behind_it_is_run)
{
    const auto size = std::to_string(Health.size());
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    for (const auto& headers : { std::string("Content-Length: x\r\n"), std::string("Content-Length: -1\r\n"),
             std::string("Content-Length: 2x\r\n"), "Content-Length: 2\r\nContent-Length: " + size + "\r\n",
             chunked + "Content-Length: 2\r\n", std::string("Transfer-Encoding: gzip, chunked\r\n"),
             chunked + chunked }) {
        const auto answers = answersTo(headers, Health);
        EXPECT_EQ(answers.rfind("HTTP/1.1 400", 0), 0u) << headers << answers;
        EXPECT_EQ(answersIn(answers), 1u) << headers << answers;
        EXPECT_NE(answers.find("Connection: close"), std::string::npos) << headers << answers;
    }
    EXPECT_EQ(m_service.runs(), 0u);
}

TEST_F(request_lengths_test, a_chunked_body_is_limited_like_any_other)
{
    for (const int chunks : { 100, 1000 }) {
        std::string body;
        for (int index = 0; index < chunks; ++index)
            body += "40\r\n" + std::string(64, ' ') + "\r\n";
        const auto answers = answersTo("Transfer-Encoding: chunked\r\n", body + "0\r\n\r\n" + Health);
        EXPECT_EQ(answers.rfind("HTTP/1.1 413", 0), 0u) << chunks << " chunks: " << answers;
    }
    EXPECT_EQ(m_service.runs(), 0u);
}

TEST_F(request_lengths_test, a_chunked_body_within_the_limit_is_run)
{
    const auto answers = answersTo("Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\n\r\n" + Health);
    EXPECT_EQ(answers.rfind("HTTP/1.1 200", 0), 0u) << answers;
    EXPECT_EQ(answersIn(answers), 2u) << answers;
}
