// Guards against whole requests that get neither an answer nor a refusal, because the node ends their connection.
#include "node/test/node_fixture.h"
#include "node/test/tcp_handle.h"

#include <thread>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

class full_pool_test : public node_fixture {
protected:
    static constexpr int Threads = 4;

    void configure(settings& changed) override { changed.callersThreads = Threads; }
};

TEST_F(full_pool_test, a_request_beyond_the_pool_is_refused_whole_and_its_body_is_not_taken_for_a_request)
{
    std::vector<tcp_handle> holders;
    for (int index = 0; index < Threads; ++index) {
        holders.push_back(tcp_handle::connected(m_settings.callersListen));
        ASSERT_TRUE(holders.back().write("GET /healthz HT")); // holds its thread until the read times out
    }
    const std::string body = "GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n";
    const auto connection = tcp_handle::connected(m_settings.callersListen);
    ASSERT_TRUE(connection.write("POST /v1/services/booking/orders HTTP/1.1\r\nHost: node\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n"));
    std::this_thread::sleep_for(100ms); // a node that does not wait for the body has answered
    connection.write(body);
    const auto answers = connection.readAll();
    EXPECT_EQ(answers.rfind("HTTP/1.1 503", 0), 0u) << answers;
    EXPECT_EQ(answers.find("HTTP/1.1 ", 1), std::string::npos) << answers;
    EXPECT_NE(answers.find("\"code\":\"overloaded\""), std::string::npos) << answers;
    EXPECT_NE(answers.find("\"run\":\"not_run\""), std::string::npos) << answers;
    EXPECT_NE(answers.find("Connection: close"), std::string::npos) << answers;
}
