/// \file
/// Decisions of the allocator of one shard: guards against lost or doubled places and against a wrong order of service.
#include "routing/place_account.h"

#include <gtest/gtest.h>

namespace oriolepick {
namespace {

    using ms = std::chrono::milliseconds;

    const place_shard Shard { service_name("s"), {}, 0, 1 };
    const node_id Node("10.0.0.1:1");
    const availability_zone Zone("a");

    struct place_account_test : testing::Test {
        place_account_test()
        {
            account.setTargets({ Shard.service, false, 0, {} }, { { target_name("t"), Zone, 2, true } }, now);
        }

        static place_request make(std::uint64_t number, std::uint32_t rank = 0, ms waited = ms(0))
        {
            place_request request;
            request.number = number;
            request.shard = Shard;
            request.rank = rank;
            request.latestStart = ms(2'000);
            request.objective = ms(2'000);
            request.waited = waited;
            return request;
        }

        place_account::actions ask(const place_request& request) { return account.request(Node, Zone, request, now); }

        /// Uses all places of the target.
        void fill()
        {
            for (std::uint64_t number = 1; number < 100; ++number) {
                if (ask(make(number)).empty()) {
                    account.cancel(Node, number, now);
                    return;
                }
                filled = number;
            }
        }

        static std::vector<std::uint64_t> granted(const place_account::actions& actions)
        {
            std::vector<std::uint64_t> numbers;
            for (const auto& action : actions) {
                const auto* answer = std::get_if<place_answer>(&action.message);
                if (answer && answer->outcome == place_outcome::Granted)
                    numbers.push_back(answer->number);
            }
            return numbers;
        }

        static place_report report(std::uint64_t sequence, std::uint64_t newest, std::vector<std::uint64_t> open,
            std::uint32_t inFlight, std::uint64_t startedAt = 1)
        {
            target_use use;
            use.target = hashOf(target_name("t"));
            use.inFlight = inFlight;
            return { startedAt, sequence, newest, std::move(open), { use } };
        }

        std::uint32_t inFlight() const { return account.targets().inFlight(target_name("t")); }

        instant now { std::chrono::seconds(100) };
        place_account account { Shard, {}, seeded_random(1), now };
        std::uint64_t filled = 0;
    };

    TEST_F(place_account_test, RepeatedRequestGetsTheSameAnswerAndOnePlace)
    {
        EXPECT_EQ(granted(ask(make(1))).size(), 1U);
        EXPECT_EQ(granted(ask(make(1))).size(), 1U);
        EXPECT_EQ(inFlight(), 1U);
    }

    TEST_F(place_account_test, OutdatedReportsAreIgnored)
    {
        account.state(Node, report(5, 1, {}, 2), now);
        account.state(Node, report(4, 1, {}, 1), now); // late
        account.state(Node, report(5, 1, {}, 2), now); // repeated
        EXPECT_EQ(inFlight(), 2U);
        account.state(Node, report(1, 0, {}, 1, 2), now); // the node has restarted
        account.state(Node, report(9, 9, {}, 2, 1), now); // of its former process
        EXPECT_EQ(inFlight(), 1U);
    }

    TEST_F(place_account_test, GrantCountsUntilAReportContainsIt)
    {
        account.state(Node, report(1, 5, {}, 0), now);
        ask(make(7));
        account.state(Node, report(2, 7, { 7 }, 0), now); // sent before the answer arrived
        EXPECT_EQ(inFlight(), 1U);
        account.state(Node, report(3, 7, {}, 1), now);
        EXPECT_EQ(inFlight(), 1U);
        EXPECT_TRUE(ask(make(6)).empty()) << "a request that the node has decided otherwise";
    }

    TEST_F(place_account_test, GrantsAndUsesWithoutReportsExpire)
    {
        ask(make(1));
        account.state(node_id("10.0.0.2:1"), report(1, 0, {}, 1), now);
        EXPECT_EQ(inFlight(), 2U);
        now += ms(400);
        account.tick(now);
        EXPECT_EQ(inFlight(), 0U);
    }

    TEST_F(place_account_test, ServesRanksThenReturningCallersThenNewcomers)
    {
        fill();
        ask(make(101, 2));
        ask(make(102, 2, ms(500)));
        ask(make(103, 0));
        ask(make(104, 0, ms(900)));
        std::vector<std::uint64_t> order;
        std::uint64_t sequence = 0;
        for (std::uint32_t left = 0; left < 6; ++left) {
            // Free one place after the other; all grants but the waiting ones are decided.
            const auto out = account.cancel(Node, ++sequence, now);
            for (const auto number : granted(out))
                order.push_back(number);
        }
        ASSERT_GE(order.size(), 2U);
        EXPECT_EQ(order[0], 104U);
        EXPECT_EQ(order[1], 103U);
    }

    TEST_F(place_account_test, RefusesAtOnceWhatCanNotStartInTime)
    {
        fill();
        std::size_t refused = 0;
        for (std::uint64_t number = 200; number < 400; ++number) {
            auto request = make(number);
            request.latestStart = ms(100);
            request.objective = ms(100);
            for (const auto& action : ask(request)) {
                const auto* answer = std::get_if<place_answer>(&action.message);
                refused += answer && answer->outcome == place_outcome::Refused && answer->retryAfter >= ms(250);
            }
        }
        EXPECT_GT(refused, 150U);
        EXPECT_LT(account.waiting(), 50U);
    }

    TEST_F(place_account_test, RejectionByTheTargetLowersItsRoom)
    {
        auto rejected = report(1, 0, {}, 1);
        rejected.uses.front().refusedAgo = ms(0);
        account.state(Node, rejected, now);
        EXPECT_TRUE(granted(ask(make(1))).empty());
        now += ms(310);
        EXPECT_EQ(granted(account.tick(now)).size(), 1U);
    }

    TEST_F(place_account_test, RenewalRepeatsLostDecisions)
    {
        fill();
        ask(make(101));
        auto out = account.renew(Node, { Shard, { 101 } }, now);
        ASSERT_EQ(out.size(), 1U);
        EXPECT_EQ(std::get<place_line_state>(out[0].message).waiting.size(), 1U);
        account.cancel(Node, 1, now);
        out = account.renew(Node, { Shard, { 101 } }, now);
        EXPECT_EQ(granted(out), std::vector<std::uint64_t>({ 101 }));
    }

} // namespace
} // namespace oriolepick
