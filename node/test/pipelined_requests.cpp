// Guards against a whole request that gets neither an answer nor a refusal because it arrived together with the request
// before it on the same connection.
#include "node/test/node_fixture.h"
#include "node/test/tcp_handle.h"

using namespace oriolepick;

class pipelined_requests_test : public node_fixture { };

TEST_F(pipelined_requests_test, each_request_of_one_segment_gets_an_answer)
{
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n";
    const auto connection = tcp_handle::connected(m_settings.callersListen);
    ASSERT_TRUE(connection.write(request + request));
    const auto answers = connection.readAll();
    const auto first = answers.find("HTTP/1.1 200");
    EXPECT_EQ(first, 0u) << answers;
    EXPECT_NE(answers.find("HTTP/1.1 200", first + 1), std::string::npos) << answers;
}
