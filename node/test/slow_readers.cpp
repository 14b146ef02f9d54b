// Guards against answers that a planned stop does not wait for, since an answer counts as open until it has been sent,
// and against a stop that waits without end for callers that do not read.
#include "node/test/node_fixture.h"
#include "node/test/tcp_handle.h"

#include <thread>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t AnswerBytes = 8'000'000; // far more than the kernel's buffers hold

/// Gives each request the same long answer.
class long_answer_service {
public:
    long_answer_service()
        : m_thread([this] { serve(); })
    {
    }
    ~long_answer_service()
    {
        m_listener.shutdown();
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.localPort()); }

private:
    void serve() const
    {
        const auto answer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
            + std::to_string(AnswerBytes) + "\r\n\r\n" + std::string(AnswerBytes, 'a');
        for (auto connection = m_listener.accept(); connection.valid();) {
            (void)connection.readMessage();
            connection.write(answer);
            connection = m_listener.accept();
        }
    }

    tcp_handle m_listener = tcp_handle::listening();
    std::thread m_thread;
};

} // namespace

class slow_readers_test : public node_fixture {
protected:
    std::vector<std::string> serviceAddresses() override { return { m_long.address() }; }
    void configure(settings& changed) override { changed.responseMemoryBytes = 512 << 20; }

    long_answer_service m_long;
};

TEST_F(slow_readers_test, a_planned_stop_waits_until_answers_have_been_sent)
{
    constexpr std::size_t Callers = 2;
    const std::string request = "GET /v1/services/booking/orders HTTP/1.1\r\nHost: node\r\n"
                                "Authorization: Bearer bench\r\n\r\n";
    std::vector<tcp_handle> callers;
    for (std::size_t index = 0; index < Callers; ++index) {
        callers.push_back(tcp_handle::connected(m_settings.callersListen));
        ASSERT_TRUE(callers.back().write(request));
    }
    for (const auto& caller : callers)
        ASSERT_TRUE(caller.waitReadable()); // the head of the answer is there, so the call itself has ended
    EXPECT_NE(send("GET", "/v1/admin/status", { { "Authorization", "Bearer operator" } })
                  .body.find("\"open_requests\":" + std::to_string(Callers)),
        std::string::npos);
    bool finished = false;
    std::thread stopping([&] { finished = m_node->drainAndStop(); });
    waitUntil("/v1/admin/status", "\"draining\":true");
    for (const auto& caller : callers) {
        const auto answer = caller.readMessage();
        EXPECT_EQ(answer.size() - answer.find("\r\n\r\n") - 4, AnswerBytes);
    }
    stopping.join();
    EXPECT_TRUE(finished);
    m_node.reset();
}

class silent_readers_test : public slow_readers_test {
protected:
    void configure(settings& changed) override
    {
        slow_readers_test::configure(changed);
        changed.drainTimeout = 1000ms;
    }
};

TEST_F(silent_readers_test, a_planned_stop_ends_soon_after_its_grace_period_when_callers_do_not_read)
{
    const auto caller = tcp_handle::connected(m_settings.callersListen);
    ASSERT_TRUE(caller.write("GET /v1/services/booking/orders HTTP/1.1\r\nHost: node\r\n"
                             "Authorization: Bearer bench\r\n\r\n"));
    ASSERT_TRUE(caller.waitReadable());
    const auto begun = std::chrono::steady_clock::now();
    EXPECT_FALSE(m_node->drainAndStop());
    EXPECT_LT(std::chrono::steady_clock::now() - begun, 8s) << "a write waits for a caller for 10 s";
    m_node.reset();
}
