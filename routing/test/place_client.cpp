/// \file
/// Requests of one node for places: guards against requests that wait for an allocator that is gone, and against uses
/// that are not reported.
#include "routing/place_client.h"

#include <gtest/gtest.h>

namespace oriolepick {
namespace {

    using ms = std::chrono::milliseconds;

    struct place_client_test : testing::Test {
        place_client_test()
        {
            directory.setNodes({ { other, zone } });
            place_service service { service_name("s"), false, 0, {} };
            // A service whose allocator is the other node.
            for (int index = 0; !directory.find(service.name); ++index) {
                service.name = service_name("s" + std::to_string(index));
                service.targets = { { target_name("t"), zone, 2, true } };
                directory.setService(service);
                if (directory.allocatorOf(directory.shardsOf(service.name).front()) != other)
                    directory.removeService(service.name);
            }
            demand.service = service.name;
            demand.latestStart = ms(1'000);
            demand.objective = ms(200);
            shard = directory.shardsOf(service.name).front();
        }

        place_answer answer(std::uint64_t number, place_outcome outcome) const
        {
            place_answer made;
            made.number = number;
            made.shard = shard;
            made.outcome = outcome;
            made.target = target_name("t");
            made.decisionWithin = ms(150);
            made.retryAfter = ms(400);
            return made;
        }

        template <typename kind> static std::size_t count(const place_client::actions& actions)
        {
            std::size_t found = 0;
            for (const auto& action : actions) {
                if (const auto* sent = std::get_if<send_place_message>(&action))
                    found += std::holds_alternative<kind>(sent->message);
            }
            return found;
        }

        template <typename decision> static bool isDecided(const place_client::actions& actions)
        {
            for (const auto& action : actions) {
                const auto* decided = std::get_if<place_decided>(&action);
                if (decided && std::holds_alternative<decision>(decided->decision))
                    return true;
            }
            return false;
        }

        /// \return the time until the request is decided locally
        ms waitForLocalDecision()
        {
            const auto from = now;
            while (now < from + ms(1'000)) {
                now = std::max(now + std::chrono::microseconds(1), client.nextDue());
                if (isDecided<decide_locally>(client.tick(now)))
                    break;
            }
            return std::chrono::duration_cast<ms>(now - from);
        }

        availability_zone zone { "a" };
        node_id other { "10.0.0.2:1" };
        place_directory directory { { node_id("10.0.0.1:1"), zone }, {} };
        place_client client { directory, {}, seeded_random(1), 1 };
        instant now { std::chrono::seconds(100) };
        place_demand demand;
        place_shard shard;
    };

    TEST_F(place_client_test, DecidesLocallyWithoutAnAnswer)
    {
        EXPECT_EQ(count<place_request>(client.acquire(demand, now).actions), 1U);
        EXPECT_LE(waitForLocalDecision(), ms(26));
        client.acquire(demand, now);
        EXPECT_LE(waitForLocalDecision(), ms(26));
        // Two answers are missing: the allocator is not asked for a second.
        EXPECT_TRUE(isDecided<decide_locally>(client.acquire(demand, now).actions));
        now += ms(1'001);
        EXPECT_EQ(count<place_request>(client.acquire(demand, now).actions), 1U);
    }

    TEST_F(place_client_test, NoticesADeadAllocatorWhileWaiting)
    {
        const auto number = client.acquire(demand, now).number;
        client.receive(other, answer(number, place_outcome::Waiting), now);
        EXPECT_LE(waitForLocalDecision(), ms(101));
    }

    TEST_F(place_client_test, WaitsWhileTheAllocatorRenews)
    {
        const auto number = client.acquire(demand, now).number;
        client.receive(other, answer(number, place_outcome::Waiting), now);
        std::size_t renewals = 0;
        for (int step = 0; step < 14; ++step) {
            now += ms(10);
            const auto out = client.tick(now);
            renewals += count<place_renewal>(out);
            EXPECT_FALSE(isDecided<decide_locally>(out));
            client.receive(other, place_line_state { shard, { number } }, now);
        }
        EXPECT_EQ(renewals, 2U);
        EXPECT_TRUE(isDecided<place_granted>(client.receive(other, answer(number, place_outcome::Granted), now)));
        EXPECT_TRUE(client.receive(other, answer(number, place_outcome::Granted), now).empty()) << "decided twice";
    }

    TEST_F(place_client_test, SendsThreeMessagesARequestAndNothingWhileIdle)
    {
        const auto number = client.acquire(demand, now).number;
        client.receive(other, answer(number, place_outcome::Granted), now);
        now += ms(30);
        const auto out = client.end(number, place_end::Completed, now);
        ASSERT_EQ(count<place_state>(out), 1U);
        const auto& state = std::get<place_state>(std::get<send_place_message>(out.front()).message);
        ASSERT_EQ(state.report.uses.size(), 1U);
        EXPECT_EQ(state.report.uses[0].inFlight, 0U);
        EXPECT_EQ(state.report.uses[0].completed, 1U);
        EXPECT_EQ(state.report.uses[0].busy, ms(30));
        EXPECT_EQ(state.report.newest, number);
        EXPECT_EQ(client.nextDue(), instant::max());
    }

    TEST_F(place_client_test, ReportsToANewAllocatorAtOnce)
    {
        client.begin(demand.service, target_name("t"), 0, false, now);
        now += ms(50);
        EXPECT_EQ(count<place_state>(client.tick(now)), 1U);
        directory.setNodes({});
        EXPECT_EQ(count<place_state>(client.tick(now)), 1U);
    }

    TEST_F(place_client_test, DecidesLocallyWithoutOtherNodes)
    {
        directory.setNodes({});
        EXPECT_TRUE(isDecided<decide_locally>(client.acquire(demand, now).actions));
    }

    TEST_F(place_client_test, PassesOnRefusals)
    {
        const auto number = client.acquire(demand, now).number;
        EXPECT_TRUE(isDecided<place_refused>(client.receive(other, answer(number, place_outcome::Refused), now)));
        EXPECT_EQ(client.pending(), 0U);
    }

} // namespace
} // namespace oriolepick
