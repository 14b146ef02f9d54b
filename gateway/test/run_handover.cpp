// Guards against prefilling a prompt again although a copy of its run exists, when the node of the stream dies or
// stops.
#include "gateway/run_handover.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

#include <fcntl.h>

#include <memory>
#include <set>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

// Ten nodes that exchange messages through the event loop.
class RunHandover : public testing::Test {
protected:
    RunHandover()
    {
        for (int number = 0; number < 10; ++number)
            names.emplace_back("10.0.0." + std::to_string(number) + ":7200");
        for (const auto& name : names) {
            nodes[name] = std::make_unique<run_handover>(
                name,
                [this, name](const node_id& to, const run_message& message) {
                    ++messages;
                    if (deadNodes.count(to))
                        return;
                    if (to == slowReader) {
                        queued.push_back([this, name, to, message] { nodes[to]->receive(name, message); });
                        return;
                    }
                    boost::asio::post(loop, [this, name, to, message] { nodes[to]->receive(name, message); });
                },
                [this] { return !queued.empty(); }, timers, log, metrics);
        }
        for (const auto& name : names) {
            std::vector<node_id> others;
            std::copy_if(names.begin(), names.end(), std::back_inserter(others),
                [&name](const auto& other) { return other != name; });
            nodes[name]->setNodes(others);
        }
    }

    static run_record record(std::uint64_t requestHash)
    {
        return { { requestHash, requestHash }, {}, "attempt-" + std::to_string(requestHash), target_name("holder"),
            { "10.1.0.1:80", "x" }, false };
    }

    std::optional<run_record> find(const node_id& at, std::uint64_t requestHash)
    {
        std::optional<run_record> found;
        bool done = false;
        nodes[at]->find({ requestHash, requestHash }, [&](const auto& record) {
            found = record;
            done = true;
        });
        const auto end = timers.now() + 5s;
        while (!done && timers.now() < end)
            loop.run_one_for(10ms);
        EXPECT_TRUE(done);
        return found;
    }

    void deliverMessages() { loop.run_for(5ms); }

    void runUntilRead()
    {
        while (slowReader)
            loop.run_one_for(10ms);
    }

    void readQueued()
    {
        slowReader.reset();
        for (const auto& message : std::exchange(queued, {}))
            message();
    }

    boost::asio::io_context loop;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { loop.get_executor() };
    timer_queue timers { loop };
    decision_log log { open("/dev/null", O_WRONLY), "n", 100 };
    gateway_metrics metrics;
    std::vector<node_id> names;
    std::map<node_id, std::unique_ptr<run_handover>> nodes;
    std::set<node_id> deadNodes;
    int messages = 0;
    std::optional<node_id> slowReader; // node whose socket the messages in queued wait in
    std::vector<std::function<void()>> queued;
};

TEST_F(RunHandover, AnyNodeFindsTheRunOfADeadNode)
{
    for (std::uint64_t requestHash = 0; requestHash < 20; ++requestHash) {
        const auto& origin = names[requestHash % names.size()];
        nodes[origin]->publish(record(requestHash), {});
        deliverMessages();
        deadNodes = { origin };
        for (const auto& name : names) {
            if (name == origin)
                continue;
            const auto found = find(name, requestHash);
            ASSERT_TRUE(found) << requestHash << " at " << name;
            EXPECT_EQ(found->origin, origin);
        }
        deadNodes.clear();
    }
}

TEST_F(RunHandover, LossOfOneReplicaIsTolerated)
{
    for (std::uint64_t requestHash = 0; requestHash < 20; ++requestHash) {
        nodes[names[0]]->publish(record(requestHash), {});
        deliverMessages();
        deadNodes = { names[0], names[1 + requestHash % 9] };
        for (const auto& name : names) {
            if (!deadNodes.count(name)) {
                EXPECT_TRUE(find(name, requestHash));
            }
        }
        deadNodes.clear();
    }
}

TEST_F(RunHandover, QueryForAnUnknownRunEndsSoon)
{
    const auto begin = timers.now();
    EXPECT_FALSE(find(names[3], 7));
    EXPECT_LT(timers.now() - begin, 1s);
    deadNodes = { names.begin(), names.end() };
    EXPECT_FALSE(find(names[3], 7)) << "also when no node responds";
}

// A burst of datagrams: an answer arrives in time behind others, and is read late.
TEST_F(RunHandover, AnAnswerThatWaitsInTheSocketIsNotLate)
{
    nodes[names[0]]->publish(record(1), {});
    deliverMessages();
    deadNodes = { names[0] };
    for (const auto& name : names) {
        if (deadNodes.count(name))
            continue;
        slowReader = name;
        timers.at(timers.now() + 45ms, [this] { readQueued(); });
        EXPECT_TRUE(find(name, 1)) << name;
        runUntilRead();
    }
}

TEST_F(RunHandover, FormerNodeOfTheRunIsNotifiedOnce)
{
    int taken = 0;
    nodes[names[0]]->publish(record(1), [&taken] { ++taken; });
    deliverMessages();
    const auto found = find(names[5], 1);
    ASSERT_TRUE(found);
    nodes[names[5]]->takeOver(*found);
    deliverMessages();
    EXPECT_EQ(taken, 1);
    nodes[names[5]]->takeOver(*found);
    deliverMessages();
    EXPECT_EQ(taken, 1) << "once";
}

TEST_F(RunHandover, PublishingARunTakesTwoMessages)
{
    for (std::uint64_t requestHash = 0; requestHash < 100; ++requestHash)
        nodes[names[0]]->publish(record(requestHash), {});
    EXPECT_LE(messages, 200);
}

} // namespace
