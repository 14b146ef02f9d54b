// Guards who waits for a place at an engine, who is refused and who goes first, under patterns of load that overrun the
// engines. No network: places are given by the test.
#include "gateway/admission_queue.h"
#include "core/seeded_random.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class AdmissionQueue : public testing::Test {
protected:
    request_queue_settings makeSettings()
    {
        request_queue_settings settings;
        settings.standingQueueMaxWait.fill(settings.maxWait);
        return settings;
    }

    // A request that takes a place on its turn while there are any.
    queue_number enqueue(const std::string& name, std::chrono::milliseconds queueTimeLimit,
        const std::string& team = "t", request_priority priority = request_priority::Normal)
    {
        return queue.enqueue(service,
            { { team_id(fleet_name("f"), team), name }, priority, 100, timers.now() + queueTimeLimit },
            { [this, name] {
                 if (!freeSlots) {
                     ++attempts;
                     queue.notPlaced(service);
                     return;
                 }
                 --freeSlots;
                 placed.push_back(name);
                 queue.placed(service);
             },
                [this, name](const queue_refusal& refusal) {
                    refused.push_back(name);
                    lastRetryAfter = refusal.retryAfter;
                } });
    }

    void runFor(std::chrono::milliseconds time) { loop.run_for(time); }

    const service_name service { "engines" };
    boost::asio::io_context loop;
    timer_queue timers { loop };
    seeded_random random { 5 };
    admission_queue queue { makeSettings(), timers, random };
    int freeSlots = 0;
    int attempts = 0;
    std::vector<std::string> placed;
    std::vector<std::string> refused;
    std::chrono::milliseconds lastRetryAfter { 0 };
};

TEST_F(AdmissionQueue, BurstIsServedInOrderAsSlotsBecomeFree)
{
    for (const auto* name : { "1", "2", "3", "4" })
        enqueue(name, 5s);
    EXPECT_TRUE(queue.hasWaiting(service));
    runFor(250ms);
    EXPECT_TRUE(placed.empty());
    freeSlots = 2;
    runFor(250ms);
    EXPECT_EQ(placed, (std::vector<std::string> { "1", "2" }));
    freeSlots = 9;
    runFor(250ms);
    EXPECT_EQ(placed, (std::vector<std::string> { "1", "2", "3", "4" }));
    EXPECT_FALSE(queue.hasWaiting(service));
}

TEST_F(AdmissionQueue, OnlyOneRequestOfABurstLooksForASlotAtATime)
{
    for (int request = 0; request < 50; ++request)
        enqueue(std::to_string(request), 5s);
    runFor(550ms);
    EXPECT_GE(attempts, 3);
    EXPECT_LE(attempts, 6) << "fifty requests do not ask fifty times as often as one";
}

TEST_F(AdmissionQueue, RequestIsRefusedAtItsDeadlineWhenNoSlotBecomesFree)
{
    enqueue("late", 300ms);
    enqueue("patient", 5s);
    runFor(600ms);
    EXPECT_EQ(refused, std::vector<std::string> { "late" });
    EXPECT_GT(lastRetryAfter, 0ms);
    freeSlots = 1;
    runFor(250ms);
    EXPECT_EQ(placed, std::vector<std::string> { "patient" });
}

TEST_F(AdmissionQueue, RequestThatCannotBeServedInTimeIsRefusedAtOnce)
{
    EXPECT_EQ(enqueue("hopeless", 0ms), 0U);
    EXPECT_EQ(refused, std::vector<std::string> { "hopeless" });
    EXPECT_FALSE(queue.hasWaiting(service));
}

TEST_F(AdmissionQueue, RequestsOfCallersThatGaveUpAreRemoved)
{
    const auto first = enqueue("1", 5s);
    const auto second = enqueue("2", 5s);
    enqueue("3", 5s);
    queue.remove(service, second);
    queue.remove(service, first);
    freeSlots = 3;
    runFor(250ms);
    EXPECT_EQ(placed, std::vector<std::string> { "3" });
    EXPECT_TRUE(refused.empty());
    EXPECT_EQ(freeSlots, 2) << "a place that was not taken stays free";
}

TEST_F(AdmissionQueue, TeamAboveItsShareDoesNotDelayOthers)
{
    for (int request = 0; request < 40; ++request)
        enqueue("large", 5s, "large");
    enqueue("small", 5s, "small");
    freeSlots = 4;
    runFor(300ms);
    EXPECT_NE(std::find(placed.begin(), placed.end(), "small"), placed.end());
}

TEST_F(AdmissionQueue, UrgentRequestsAreServedFirst)
{
    enqueue("bulk", 5s, "t", request_priority::Bulk);
    enqueue("urgent", 5s, "t", request_priority::Urgent);
    freeSlots = 1;
    runFor(250ms);
    EXPECT_EQ(placed, std::vector<std::string> { "urgent" });
}

TEST_F(AdmissionQueue, QueueDrainsAtOnceWhenManySlotsBecomeFree)
{
    for (int request = 0; request < 30; ++request)
        enqueue(std::to_string(request), 5s);
    runFor(350ms);
    freeSlots = 30;
    runFor(250ms);
    EXPECT_EQ(placed.size(), 30U) << "a found place lets the next one look without a pause";
}

} // namespace
