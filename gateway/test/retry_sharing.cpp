// Guards against requests that fail because the budget of one node is used up while the fleet has retries left.
#include "gateway/retry_sharing.h"
#include "gateway/gateway_metrics.h"
#include "routing/node_retry_budget.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const service_name Service("s");

// Nodes whose messages take 1 ms, in virtual time.
class fleet {
public:
    fleet(std::size_t nodes, double lossShare, std::uint64_t seed)
        : m_random(seed)
        , m_lossShare(lossShare)
    {
        for (std::size_t index = 0; index < nodes; ++index)
            m_nodes.push_back(std::make_unique<node>(*this, index, seed + index));
        for (auto& each : m_nodes) {
            std::vector<node_id> others;
            for (std::size_t index = 0; index < nodes; ++index) {
                if (index != each->index)
                    others.emplace_back(std::to_string(index));
            }
            each->budget.setNodes(nodes, now);
            each->sharing.setNodes(std::move(others));
        }
    }

    double totalBalance()
    {
        double total = 0;
        for (auto& each : m_nodes) {
            auto copy = each->budget;
            while (copy.take(Service, now))
                ++total;
        }
        return total;
    }

    // Delivers what was sent at least a millisecond ago.
    void step()
    {
        now += 1ms;
        auto due = std::move(m_messages);
        m_messages.clear();
        for (const auto& message : due)
            m_nodes[message.to]->sharing.receive(node_id(std::to_string(message.from)), message.body, now);
    }

    // Lets \p node retry for as long as a request waits. \return whether it had a retry in time
    bool retry(std::size_t index, bool isShared)
    {
        auto& node = *m_nodes[index];
        for (int waited = 0; waited <= 60; ++waited) {
            if (node.budget.take(Service, now))
                return true;
            if (!isShared)
                return false;
            if (waited % 10 == 0)
                node.sharing.request(Service, now);
            step();
        }
        return false;
    }

    void serveRequests(int each)
    {
        for (auto& node : m_nodes) {
            for (int request = 0; request < each; ++request)
                node->budget.recordRequest(Service, now);
        }
    }

    void repeatMessages() { m_messages.insert(m_messages.end(), m_messages.begin(), m_messages.end()); }

    retry_sharing& sharing(std::size_t index) { return m_nodes[index]->sharing; }
    node_retry_budget& budget(std::size_t index) { return m_nodes[index]->budget; }
    std::size_t pendingMessages() const { return m_messages.size(); }

    instant now { 1'000s };

private:
    struct node {
        node(fleet& fleet, std::size_t index, std::uint64_t seed)
            : index(index)
            , sharing(
                  [&fleet, index](const node_id& to, const retry_share_message& message) {
                      if (fleet.m_random.unit() >= fleet.m_lossShare)
                          fleet.m_messages.push_back({ index, std::stoul(to.value()), message });
                  },
                  budget, seed, metrics)
        {
        }

        std::size_t index;
        gateway_metrics metrics;
        node_retry_budget budget { node_retry_budget_settings {} };
        retry_sharing sharing;
    };
    struct message {
        std::size_t from;
        std::size_t to;
        retry_share_message body;
    };

    seeded_random m_random;
    double m_lossShare;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::deque<message> m_messages;
};

// Load pattern: a zone of targets is lost, and eight streams on each of a tenth of the nodes end at once, while the
// other nodes lose none.
std::size_t retriesAfterLoss(bool isShared, double lossShare)
{
    fleet fleet(68, lossShare, 5);
    fleet.serveRequests(6);
    std::size_t retries = 0;
    for (std::size_t node = 0; node < 68; node += 10) {
        for (int stream = 0; stream < 8; ++stream)
            retries += fleet.retry(node, isShared);
    }
    return retries;
}

} // namespace

TEST(RetrySharing, StreamsLostOnAFewNodesAreRetriedWithTheBudgetOfTheOthers)
{
    const std::size_t lost = 7 * 8;
    EXPECT_EQ(retriesAfterLoss(true, 0), lost);
    EXPECT_GE(retriesAfterLoss(true, 0.1), lost * 9 / 10) << "one message in ten is lost";
    EXPECT_LE(retriesAfterLoss(false, 0), lost / 2) << "otherwise the pattern would not need the shared budget";
}

TEST(RetrySharing, TransfersNeverIncreaseTheBudgetOfTheFleet)
{
    for (const double lossShare : { 0.0, 0.3 }) {
        fleet fleet(68, lossShare, 7);
        while (fleet.budget(0).take(Service, fleet.now)) { }
        const auto before = fleet.totalBalance();
        for (int round = 0; round < 20; ++round) {
            fleet.sharing(0).request(Service, fleet.now);
            fleet.repeatMessages();
            for (int step = 0; step < 20; ++step)
                fleet.step();
        }
        const auto refilled = 68 * 0.4 * 150.0 / 68 / 4 / 10; // in the 0.4 s of the rounds
        EXPECT_LE(fleet.totalBalance(), before + refilled + 1);
    }
}

TEST(RetrySharing, AnAnswerThatComesLateIsNotCredited)
{
    fleet fleet(68, 0, 9);
    while (fleet.budget(0).take(Service, fleet.now)) { }
    fleet.sharing(0).request(Service, fleet.now);
    fleet.now += 200ms; // longer than an answer may take
    fleet.step();
    fleet.step();
    EXPECT_FALSE(fleet.budget(0).mayTake(Service, fleet.now));
}

TEST(RetrySharing, ASmallFleetSendsNothing)
{
    fleet fleet(6, 0, 11);
    EXPECT_FALSE(fleet.sharing(0).isAvailable());
    fleet.sharing(0).request(Service, fleet.now);
    EXPECT_EQ(fleet.pendingMessages(), 0U);
}

TEST(RetrySharing, ANodeKeepsOneRetryForItself)
{
    node_retry_budget budget { node_retry_budget_settings {} };
    const instant now { 1'000s };
    budget.setNodes(68, now);
    EXPECT_EQ(budget.give(Service, 10, now), 2U);
    EXPECT_TRUE(budget.take(Service, now));
    EXPECT_FALSE(budget.take(Service, now));
}
