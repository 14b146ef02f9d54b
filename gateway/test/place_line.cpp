// Guards who waits for a place at an engine, who is refused and who goes first, under patterns of load that overrun the
// engines. No network: places are given by the test.
#include "gateway/place_line.h"
#include "core/seeded_random.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class PlaceLine : public testing::Test {
protected:
    request_queue_settings patient()
    {
        request_queue_settings settings;
        settings.standingQueueMaxWait.fill(settings.maxWait);
        return settings;
    }

    // A request that takes a place on its turn while there are any.
    queue_number join(const std::string& name, std::chrono::milliseconds patience, const std::string& team = "t",
        request_priority priority = request_priority::Normal)
    {
        return line.join(service, { { team_id(fleet_name("f"), team), name }, priority, 100, timers.now() + patience },
            { [this, name] {
                 if (!places) {
                     ++looks;
                     line.foundNone(service);
                     return;
                 }
                 --places;
                 placed.push_back(name);
                 line.placed(service);
             },
                [this, name](const queue_refusal& refusal) {
                    refused.push_back(name);
                    returnAfter = refusal.retryAfter;
                } });
    }

    void runFor(std::chrono::milliseconds time) { loop.run_for(time); }

    const service_name service { "engines" };
    boost::asio::io_context loop;
    timer_queue timers { loop };
    seeded_random random { 5 };
    place_line line { patient(), timers, random };
    int places = 0;
    int looks = 0;
    std::vector<std::string> placed;
    std::vector<std::string> refused;
    std::chrono::milliseconds returnAfter { 0 };
};

TEST_F(PlaceLine, ABurstIsPlacedInOrderAsPlacesComeFree)
{
    for (const auto* name : { "1", "2", "3", "4" })
        join(name, 5s);
    EXPECT_TRUE(line.hasWaiting(service));
    runFor(250ms);
    EXPECT_TRUE(placed.empty());
    places = 2;
    runFor(250ms);
    EXPECT_EQ(placed, (std::vector<std::string> { "1", "2" }));
    places = 9;
    runFor(250ms);
    EXPECT_EQ(placed, (std::vector<std::string> { "1", "2", "3", "4" }));
    EXPECT_FALSE(line.hasWaiting(service));
}

TEST_F(PlaceLine, ABurstLooksForPlacesOneRequestAtATime)
{
    for (int request = 0; request < 50; ++request)
        join(std::to_string(request), 5s);
    runFor(550ms);
    EXPECT_GE(looks, 3);
    EXPECT_LE(looks, 6) << "fifty requests do not ask fifty times as often as one";
}

TEST_F(PlaceLine, WithTheEnginesOfAZoneGoneARequestIsRefusedWhenItsTimeIsOver)
{
    join("late", 300ms);
    join("patient", 5s);
    runFor(600ms);
    EXPECT_EQ(refused, std::vector<std::string> { "late" });
    EXPECT_GT(returnAfter, 0ms);
    places = 1;
    runFor(250ms);
    EXPECT_EQ(placed, std::vector<std::string> { "patient" });
}

TEST_F(PlaceLine, ARequestThatCannotBeServedInTimeIsRefusedAtOnce)
{
    EXPECT_EQ(join("hopeless", 0ms), 0U);
    EXPECT_EQ(refused, std::vector<std::string> { "hopeless" });
    EXPECT_FALSE(line.hasWaiting(service));
}

TEST_F(PlaceLine, CallersThatGiveUpLeaveTheLine)
{
    const auto first = join("1", 5s);
    const auto second = join("2", 5s);
    join("3", 5s);
    line.leave(service, second);
    line.leave(service, first);
    places = 3;
    runFor(250ms);
    EXPECT_EQ(placed, std::vector<std::string> { "3" });
    EXPECT_TRUE(refused.empty());
    EXPECT_EQ(places, 2) << "a place that was not taken stays free";
}

TEST_F(PlaceLine, ATeamFarAboveItsShareDoesNotKeepOthersWaiting)
{
    for (int request = 0; request < 40; ++request)
        join("large", 5s, "large");
    join("small", 5s, "small");
    places = 4;
    runFor(300ms);
    EXPECT_NE(std::find(placed.begin(), placed.end(), "small"), placed.end());
}

TEST_F(PlaceLine, UrgentRequestsOvertakeTheOthers)
{
    join("bulk", 5s, "t", request_priority::Bulk);
    join("urgent", 5s, "t", request_priority::Urgent);
    places = 1;
    runFor(250ms);
    EXPECT_EQ(placed, std::vector<std::string> { "urgent" });
}

TEST_F(PlaceLine, AfterAColdReturnTheLineMovesAtOnce)
{
    for (int request = 0; request < 30; ++request)
        join(std::to_string(request), 5s);
    runFor(350ms);
    places = 30;
    runFor(250ms);
    EXPECT_EQ(placed.size(), 30U) << "a found place lets the next one look without a pause";
}

} // namespace
