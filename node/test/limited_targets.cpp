// Guards against a target that is sent more requests than the limit it names, because each node keeps the limit by
// itself or not at all.
#include "core/test/ample_memory.h"
#include "node/control_loop.h"
#include "node/limited_service_client.h"
#include "node/node_metrics.h"
#include "node/peer_hub.h"
#include "node/state_keeper.h"
#include "node/target_limits.h"
#include "node/test/node_fixture.h"
#include "targets/http_service_client.h"
#include "transport/peer_transport.h"
#include "transport/transport_counters.h"
#include "wire/messages.pb.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
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

constexpr auto Allowed = static_cast<std::uint64_t>(AllowedFactor * Limit * 4) + AllowedExtra;
constexpr auto UsedAtLeast = static_cast<std::uint64_t>(Limit * 4 / 2);

/// Connects the nodes of one test. ThreadSanitizer cannot see into the packaged ZeroMQ and reports races between two of
/// its transports in one process.
class memory_network {
public:
    void attach(const node_id& node, peer_transport::handler handler)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_handlers[node] = std::move(handler);
    }

    void detach(const node_id& node)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_handlers.erase(node);
    }

    void send(const node_id& to, const wire::envelope& message)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_handlers.find(to);
        if (found != m_handlers.end())
            found->second(message);
    }

private:
    std::mutex m_mutex;
    std::map<node_id, peer_transport::handler> m_handlers;
};

class memory_transport final : public peer_transport {
public:
    memory_transport(memory_network& network, node_id self)
        : m_network(network)
        , m_self(std::move(self))
    {
    }
    void start(handler onMessage) override { m_network.attach(m_self, std::move(onMessage)); }
    void stop() override { m_network.detach(m_self); }
    void send(const node_id& peer, const wire::envelope& message) override { m_network.send(peer, message); }
    const transport_counters& counters() const override { return m_counters; }

private:
    memory_network& m_network;
    node_id m_self;
    transport_counters m_counters;
};

/// The parts of one daemon that call services.
struct calling_node {
    calling_node(memory_network& network, const node_id& self)
        : transport(network, self)
        , peers(self, 1, transport, loop, states, metrics)
        , limits(peers, loop, metrics)
        , services(adapter, limits)
    {
    }
    ~calling_node()
    {
        transport.stop();
        loop.stop();
    }

    state_keeper states;
    node_metrics metrics;
    control_loop loop;
    memory_transport transport;
    peer_hub peers;
    target_limits limits;
    http_service_client adapter { ampleMemory() };
    limited_service_client services;
};

/// Counts the runs of a service in windows.
class run_monitor {
public:
    explicit run_monitor(const service_emulator& service)
        : m_service(service)
    {
    }

    /// Watches for \p time. \return the most runs in a window after the contact time
    std::uint64_t mostInWindow(std::chrono::milliseconds time) const
    {
        const auto begin = std::chrono::steady_clock::now();
        std::deque<std::pair<instant, std::uint64_t>> history;
        std::uint64_t most = 0;
        for (auto now = begin; now < begin + time; now = std::chrono::steady_clock::now()) {
            if (now >= begin + ContactTime)
                history.emplace_back(now, m_service.runs());
            while (!history.empty() && history.front().first < now - Window)
                history.pop_front();
            if (!history.empty())
                most = std::max(most, history.back().second - history.front().second);
            std::this_thread::sleep_for(10ms);
        }
        return most;
    }

private:
    const service_emulator& m_service;
};

} // namespace

TEST(limited_services, the_limit_holds_for_the_sum_of_all_nodes)
{
    configureLog("text", "error");
    service_emulator service(64);
    ASSERT_TRUE(service.start("127.0.0.1:0"));
    ASSERT_EQ(service.applyFaults(R"({"request_limit":4})"), "");
    memory_network network;
    const std::vector<node_id> names { node_id("10.0.0.1:1"), node_id("10.0.0.2:1"), node_id("10.0.0.3:1") };
    std::vector<std::unique_ptr<calling_node>> nodes;
    for (const auto& name : names) {
        auto& node = *nodes.emplace_back(std::make_unique<calling_node>(network, name));
        node.loop.start();
        node.peers.start();
        node.loop.post([&node, &names](instant now) { node.limits.setNodes(names, names.size(), now); });
    }
    std::atomic<bool> stopping { false };
    std::atomic<int> limited { 0 };
    std::atomic<int> failed { 0 };
    std::vector<std::thread> callers;
    for (const auto& node : nodes) {
        for (int caller = 0; caller < 2; ++caller) {
            callers.emplace_back([&, &services = node->services] {
                while (!stopping) {
                    call_abort abort;
                    const auto outcome = services.call(service.address(), { "GET", "/orders", {}, {} }, {}, abort);
                    if (outcome.limited)
                        ++limited;
                    else if (outcome.kind != service_outcome_kind::Response)
                        ++failed;
                    std::this_thread::sleep_for(10ms);
                }
            });
        }
    }
    const auto most = run_monitor(service).mostInWindow(9s);
    stopping = true;
    for (auto& caller : callers)
        caller.join();
    EXPECT_LE(most, Allowed);
    EXPECT_GE(most, UsedAtLeast);
    EXPECT_GT(limited, 0);
    EXPECT_EQ(failed, 0);
    nodes.clear();
    service.stop();
}

class limited_targets_test : public node_fixture {
protected:
    // Calls the service without pause, as repeatable and as other calls.
    void callFor(std::chrono::milliseconds time)
    {
        m_refused = 0;
        m_failed = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        std::vector<std::thread> callers;
        for (const auto* method : { "GET", "POST", "GET", "POST" }) {
            callers.emplace_back([this, method, end] {
                while (std::chrono::steady_clock::now() < end) {
                    const auto response = call(method, "key" + std::to_string(++m_lastKey), "{}");
                    // 429 is the limit of the callers' team, of which a new node gets a tenth at first.
                    if (response.status == 503)
                        ++m_refused;
                    else if (response.status != 200 && response.status != 429)
                        ++m_failed;
                    std::this_thread::sleep_for(20ms);
                }
            });
        }
        m_mostInWindow = run_monitor(m_service).mostInWindow(time);
        for (auto& caller : callers)
            caller.join();
    }

    std::atomic<int> m_lastKey { 0 };
    std::atomic<int> m_refused { 0 };
    std::atomic<int> m_failed { 0 };
    std::uint64_t m_mostInWindow = 0;
};

TEST_F(limited_targets_test, calls_of_a_daemon_keep_the_limit_and_the_rest_is_refused)
{
    ASSERT_EQ(m_service.applyFaults(R"({"request_limit":4})"), "");
    callFor(9s);
    EXPECT_LE(m_mostInWindow, Allowed);
    EXPECT_GT(m_refused, 0);
    EXPECT_EQ(m_failed, 0);
}

TEST_F(limited_targets_test, a_limit_ends_when_responses_no_longer_name_it)
{
    ASSERT_EQ(m_service.applyFaults(R"({"request_limit":4})"), "");
    callFor(2s);
    EXPECT_GT(m_refused, 0);
    ASSERT_EQ(m_service.applyFaults("{}"), "");
    callFor(2s);
    callFor(1s);
    EXPECT_EQ(m_refused, 0);
}
