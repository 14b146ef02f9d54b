// Guards single rules of non-idempotent calls that a random history meets rarely: reused keys, the skew before a
// refused key is claimed again, recovery of abandoned claims, outages, queries by key and the collection of old rows.
#include "call_world.h"
#include "core/call_garbage_collector.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

call_world::fault_choice noFaults()
{
    return [](call_step) { return call_fault::None; };
}

/// Strikes once at the given occurrence of a step.
call_world::fault_choice faultAt(call_step step, int occurrence, call_fault fault)
{
    return [=, seen = 0](
               call_step each) mutable { return each == step && ++seen == occurrence ? fault : call_fault::None; };
}

error_kind kindOf(const call_world& world, std::size_t request)
{
    return world.requests.at(request).replies.at(0).error().kind;
}

} // namespace

TEST(call_rules, a_different_body_under_the_same_key_is_refused)
{
    call_world world(2, 1, noFaults());
    world.send(milliseconds(0), "k", 0, 1);
    const auto other = world.send(milliseconds(500), "k", 1, 2);
    world.runUntil(milliseconds(9000));
    EXPECT_EQ(kindOf(world, other), error_kind::KeyReused);
    EXPECT_EQ(world.runs.size(), 1u);
}

TEST(call_rules, a_refused_key_runs_only_for_a_request_after_the_skew)
{
    call_world world(2, 1, noFaults());
    const auto refused = world.send(milliseconds(0), "k", 0, 1, true);
    const auto early = world.send(milliseconds(1000), "k", 1);
    const auto late = world.send(milliseconds(9000), "k", 1);
    world.runUntil(milliseconds(20'000));
    EXPECT_EQ(kindOf(world, refused), error_kind::LimitExceeded);
    EXPECT_EQ(kindOf(world, early), error_kind::Overloaded);
    EXPECT_GE(world.requests[early].replies[0].error().retryAfter, milliseconds(1000));
    EXPECT_TRUE(world.requests[late].replies[0]);
}

TEST(call_rules, an_outage_says_not_run_only_for_keys_made_by_the_node)
{
    call_world world(1, 1, noFaults());
    platform_faults down;
    down.down = true;
    world.setTableFaults(milliseconds(0), down);
    const auto given = world.send(milliseconds(1), "k", 0);
    const auto refused = world.send(milliseconds(1), "r", 0, 1, true);
    const auto made = world.send(milliseconds(1), "m", 0, 1, false, false);
    world.runUntil(milliseconds(30'000));
    EXPECT_EQ(kindOf(world, given), error_kind::ClaimUnavailable);
    EXPECT_EQ(kindOf(world, refused), error_kind::ClaimUnavailable);
    EXPECT_EQ(kindOf(world, made), error_kind::PlatformUnavailable);
    EXPECT_TRUE(world.runs.empty());
}

TEST(call_rules, a_followed_claim_of_a_dead_process_is_recovered_as_may_have_run)
{
    call_world world(2, 1, faultAt(call_step::Answer, 1, call_fault::Crash));
    world.send(milliseconds(0), "k", 0);
    const auto follower = world.send(milliseconds(3000), "k", 1);
    world.runUntil(milliseconds(30'000));
    EXPECT_EQ(kindOf(world, follower), error_kind::OutcomeUnknown);
    EXPECT_LT(world.requests[follower].told, instant(milliseconds(4000)));
    const auto row = world.table.read("call/atelier/desk/k", {}).value();
    EXPECT_EQ(call_row_json().decode(row->value).value().state, call_row_state::MayHaveRun);
}

TEST(call_rules, an_orphaned_claim_of_a_live_process_is_recovered_as_refused)
{
    call_world world(2, 1, noFaults());
    call_row row;
    row.claimId = "n0/1/99"; // a call that this process closed without a dispatch
    row.bodyDigest = 1;
    row.node = node_id("n0");
    const auto value = call_row_json().encode(row);
    ASSERT_TRUE(world.table.commit({ {}, { { "call/atelier/desk/k", value } } }, {}).value().committed);
    const auto follower = world.send(milliseconds(0), "k", 1);
    world.runUntil(milliseconds(9000));
    EXPECT_EQ(kindOf(world, follower), error_kind::Overloaded);
}

TEST(call_rules, an_abandoned_claim_becomes_refused_and_runs_for_a_later_request)
{
    // The claim takes effect after its caller was told that it may have run.
    call_world world(2, 1, [seen = 0](call_step step) mutable {
        return step == call_step::Commit && ++seen < 3 ? call_fault::Slow : call_fault::None;
    });
    const auto first = world.send(milliseconds(0), "k", 0);
    world.runUntil(milliseconds(20'000));
    EXPECT_EQ(kindOf(world, first), error_kind::ClaimUnavailable);
    EXPECT_EQ(world.openCalls(), 0u);
    const auto second = world.send(milliseconds(30'000), "k", 1);
    world.runUntil(milliseconds(40'000));
    EXPECT_TRUE(world.requests[second].replies.at(0));
    EXPECT_EQ(world.runs.size(), 1u);
}

TEST(call_rules, a_query_proves_not_run_only_while_the_refusal_excludes_all_duplicates)
{
    call_row row;
    row.state = call_row_state::Refused;
    row.at = wall_time(milliseconds(1000));
    const auto runAt
        = [&row](int ms) { return errorResponseFor(describeCall(row, wall_time(milliseconds(ms))).error().kind).run; };
    EXPECT_EQ(runAt(1000), run_state::NotRun);
    EXPECT_EQ(runAt(1001), run_state::MayHaveRun);
    EXPECT_EQ(describeCall(std::nullopt, {}).error().kind, error_kind::UnknownCall);
}

TEST(call_rules, collection_deletes_only_rows_past_the_retention)
{
    const call_row_json codec;
    collector_settings settings;
    settings.pageRows = 2;
    call_garbage_collector collector(settings, codec);
    fake_table table;
    const wall_time now(std::chrono::hours(100));
    const auto put = [&table](const std::string& key, const std::string& value) {
        (void)table.commit({ {}, { { "call/a/" + key, value } } }, {});
    };
    call_row row;
    row.at = now - std::chrono::hours(24);
    put("1", codec.encode(row));
    put("4", codec.encode(row));
    row.at = now - std::chrono::hours(23);
    put("2", codec.encode(row));
    put("3", "damaged");
    collector.setPrefixes({ "call/a/" });
    for (int page = 0; page < 4; ++page) {
        const auto scan = collector.takeScan(instant(std::chrono::seconds(page)));
        ASSERT_TRUE(scan);
        const auto deletions
            = collector.finishScan({ {}, now }, table.scan(scan->prefix, scan->after, scan->limit, {}));
        if (deletions) {
            EXPECT_TRUE(table.commit(*deletions, {}).value().committed);
        }
    }
    const auto left = table.scan("call/", "", 10, {}).value();
    ASSERT_EQ(left.size(), 2u);
    EXPECT_EQ(left[0].key, "call/a/2");
    EXPECT_GE(collector.malformedRows(), 1u);
}

TEST(call_rules, collection_leaves_a_row_that_was_claimed_again_meanwhile)
{
    const call_row_json codec;
    call_garbage_collector collector({}, codec);
    fake_table table;
    call_row row;
    row.state = call_row_state::Refused;
    (void)table.commit({ {}, { { "call/a/1", codec.encode(row) } } }, {});
    collector.setPrefixes({ "call/" });
    ASSERT_TRUE(collector.takeScan({}));
    const wall_time now(std::chrono::hours(100));
    const auto deletions = collector.finishScan({ {}, now }, table.scan("call/", "", 10, {}));
    ASSERT_TRUE(deletions);
    (void)table.commit({ {}, { { "call/a/1", codec.encode(row) } } }, {});
    EXPECT_FALSE(table.commit(*deletions, {}).value().committed);
}
