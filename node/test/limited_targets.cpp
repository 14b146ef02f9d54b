// Guards against a target that is sent more requests than the limit it names, because each node keeps the limit by
// itself or not at all.
#include "node/test/node_fixture.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

/// Bounds of the platform's rule: in any 4 s, half more than the limit allows, and five requests.
constexpr auto Window = 4s;
constexpr double AllowedFactor = 1.5;
constexpr std::uint64_t AllowedExtra = 5;
constexpr auto ContactTime = 3s; ///< from the first mention of a limit until it counts
constexpr double Limit = 4;

} // namespace

class limited_targets_test : public node_fixture {
protected:
    static constexpr std::size_t ExtraNodes = 2;

    void SetUp() override
    {
        node_fixture::SetUp();
        for (std::size_t index = 0; index < ExtraNodes; ++index) {
            auto& configuration = m_otherSettings.emplace_back(m_settings);
            configuration.nodeName = "other" + std::to_string(index);
            configuration.callersListen = freeAddress();
            configuration.peersListen = freeAddress();
            configuration.peersSeeds = { m_settings.peersListen };
            auto created = oriolepick::daemon::create(configuration);
            ASSERT_TRUE(created) << created.error().message;
            m_others.push_back(std::move(created.value()));
            ASSERT_TRUE(m_others.back()->start());
        }
        waitUntil("/metrics", "oriolepick_peers{status=\"alive\"} 3");
    }

    void TearDown() override
    {
        for (auto& other : m_others)
            other->drainAndStop();
        m_others.clear();
        node_fixture::TearDown();
    }

    // Calls the service through all nodes without pause.
    void callAtAllNodes(std::chrono::milliseconds time)
    {
        std::vector<std::string> addresses { m_settings.callersListen };
        for (const auto& other : m_otherSettings)
            addresses.push_back(other.callersListen);
        const auto begin = std::chrono::steady_clock::now();
        std::vector<std::thread> callers;
        for (const auto& address : addresses) {
            for (const auto* method : { "GET", "POST" }) {
                callers.emplace_back([this, address, method, begin, time] {
                    while (std::chrono::steady_clock::now() < begin + time) {
                        const auto status = callOnce(address, method);
                        // 429 is the limit of the callers' team, which is granted to new nodes by and by.
                        if (status != 429)
                            ++(status == 200 ? m_answered : status == 503 ? m_refused : m_failed);
                        std::this_thread::sleep_for(20ms);
                    }
                });
            }
        }
        std::deque<std::pair<instant, std::uint64_t>> history;
        for (auto now = begin; now < begin + time; now = std::chrono::steady_clock::now()) {
            if (now >= begin + ContactTime)
                history.emplace_back(now, m_service.runs());
            while (!history.empty() && history.front().first < now - Window)
                history.pop_front();
            if (!history.empty())
                m_mostInWindow = std::max(m_mostInWindow, history.back().second - history.front().second);
            std::this_thread::sleep_for(10ms);
        }
        for (auto& caller : callers)
            caller.join();
    }

    int callOnce(const std::string& address, const char* method)
    {
        call_abort abort;
        return exchangeBuffered(address,
            { method, "/v1/services/booking/orders",
                { { "Authorization", "Bearer bench" }, { "Content-Type", "application/json" },
                    { "Idempotency-Key", "key" + std::to_string(++m_lastKey) } },
                "{}" },
            {}, 1 << 16, abort)
            .status;
    }

    std::deque<settings> m_otherSettings; // daemons refer to them
    std::vector<std::unique_ptr<oriolepick::daemon>> m_others;
    std::atomic<int> m_lastKey { 0 };
    std::atomic<int> m_answered { 0 };
    std::atomic<int> m_refused { 0 };
    std::atomic<int> m_failed { 0 };
    std::uint64_t m_mostInWindow = 0;
};

TEST_F(limited_targets_test, the_limit_holds_for_the_sum_of_all_nodes)
{
    ASSERT_EQ(m_service.applyFaults(R"({"request_limit":4})"), "");
    callAtAllNodes(9s);
    EXPECT_LE(m_mostInWindow, static_cast<std::uint64_t>(AllowedFactor * Limit * 4) + AllowedExtra);
    EXPECT_GE(m_mostInWindow, static_cast<std::uint64_t>(Limit * 4 / 2)) << "half of the limit is used at least";
    EXPECT_GT(m_refused, 0);
    EXPECT_EQ(m_failed, 0);
}

TEST_F(limited_targets_test, a_limit_ends_when_responses_no_longer_name_it)
{
    ASSERT_EQ(m_service.applyFaults(R"({"request_limit":4})"), "");
    callAtAllNodes(2s);
    ASSERT_EQ(m_service.applyFaults("{}"), "");
    callAtAllNodes(2s);
    m_refused = 0;
    callAtAllNodes(1s);
    EXPECT_EQ(m_refused, 0);
}
