// Guards against a call to a plain service that ends every target which runs it, and ends further ones each time its
// caller sends it again with another key.
#include "node/test/node_fixture.h"

#include <nlohmann/json.hpp>

#include <atomic>

using namespace oriolepick;

namespace {

/// Runs after the third crash that the platform's rules allow.
constexpr int AllowedRetries = 3;
constexpr int CountedCrashes = 3;

} // namespace

class crashing_calls_test : public node_fixture {
protected:
    void onServiceExit() override
    {
        ++m_crashes;
        m_service.closeListener();
    }

    // A supervisor starts the service again at its address.
    void restartService()
    {
        const auto address = m_service.address();
        m_service.stop();
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        ASSERT_TRUE(m_service.start(address));
        // Two ends of one target within a short time are taken for one.
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
    }

    void callAgainAndAgain(const std::string& method)
    {
        ASSERT_EQ(m_service.applyFaults(R"({"exit_on_accept":true,"reset_before_body":true})"), "");
        for (int sent = 0; sent < 8; ++sent) {
            const auto before = m_crashes.load();
            const auto response = call(method, method + std::to_string(sent), R"({"order":"crash"})");
            EXPECT_GE(response.status, 400) << response.body;
            if (m_crashes != before)
                restartService();
        }
        EXPECT_LE(m_crashes, CountedCrashes + AllowedRetries);
        // Another request is served; a GET has no body, so the path tells it apart.
        ASSERT_EQ(m_service.applyFaults("{}"), "");
        const auto sound = send(method, "/v1/services/booking/sound",
            { { "Authorization", "Bearer bench" }, { "Content-Type", "application/json" } }, "{}");
        EXPECT_EQ(sound.status, 200) << sound.body;
    }

    std::atomic<int> m_crashes { 0 };
};

TEST_F(crashing_calls_test, a_call_that_runs_once_ends_few_targets_however_often_it_returns)
{
    callAgainAndAgain("POST");
}

TEST_F(crashing_calls_test, a_repeatable_call_ends_few_targets_however_often_it_returns)
{
    callAgainAndAgain("GET");
}
