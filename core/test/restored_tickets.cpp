// Guards against tickets that are ordered by a number which the table hands out twice: after the table came back from
// a copy, nodes must not keep an old ticket for ever, mix two histories, or lose what was confirmed.
#include "core/test/restored_tickets.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using ms = virtual_time::ms;

namespace {

/// Longer than two polls of the largest fleet.
constexpr ms Settling { 60'000 };

class restored_tickets : public testing::TestWithParam<unsigned> {
protected:
    void forEachSeed(void (*check)(restored_fleet&))
    {
        for (std::uint64_t seed = 1; seed <= (GetParam() > 100 ? 2 : 10); ++seed) {
            SCOPED_TRACE("seed " + std::to_string(seed));
            restored_fleet fleet(GetParam(), 10, seed);
            ASSERT_EQ(fleet.differing(fleet.table()), 0u);
            check(fleet);
        }
    }
};

ticket_history numbered(unsigned last)
{
    ticket_history history;
    for (unsigned number = 1; number <= last; ++number)
        history.push_back(std::to_string(number));
    return history;
}

} // namespace

TEST_P(restored_tickets, confirmed_tickets_stay_in_force_and_return_to_the_table)
{
    forEachSeed([](restored_fleet& fleet) {
        for (const std::size_t kept : { 8, 7 }) {
            fleet.restore(kept);
            fleet.run(Settling);
            EXPECT_EQ(fleet.table(), numbered(10));
            EXPECT_EQ(fleet.differing(numbered(10)), 0u);
        }
        EXPECT_EQ(fleet.wentBack(), 0u);
        fleet.file("11");
        fleet.run(Settling);
        EXPECT_EQ(fleet.differing(numbered(11)), 0u);
    });
}

TEST_P(restored_tickets, another_ticket_under_a_lost_number_comes_into_force)
{
    forEachSeed([](restored_fleet& fleet) {
        fleet.restore(8);
        fleet.file("another 9");
        auto expected = numbered(8);
        expected.push_back("another 9");
        fleet.run(Settling);
        EXPECT_EQ(fleet.table(), expected);
        EXPECT_EQ(fleet.differing(expected), 0u);
        fleet.file("another 10");
        expected.push_back("another 10");
        fleet.run(Settling);
        EXPECT_EQ(fleet.differing(expected), 0u);
    });
}

TEST_P(restored_tickets, histories_with_equal_numbers_are_not_mixed)
{
    forEachSeed([](restored_fleet& fleet) {
        fleet.restore(8);
        fleet.file("another 9");
        fleet.file("10");
        fleet.file("another 11");
        fleet.run(Settling);
        EXPECT_EQ(fleet.differing(fleet.table()), 0u);
        EXPECT_EQ(fleet.state(0).size(), 11u);
        EXPECT_EQ(fleet.state(0)[8], "another 9");
    });
}

TEST_P(restored_tickets, a_second_restore_undoes_what_followed_the_first)
{
    forEachSeed([](restored_fleet& fleet) {
        fleet.restore(8);
        fleet.file("another 9");
        fleet.run(ms(1000));
        fleet.restore(8);
        fleet.file("third 9");
        fleet.run(Settling);
        EXPECT_EQ(fleet.differing(fleet.table()), 0u);
        EXPECT_EQ(fleet.state(0)[8], "third 9");
    });
}

TEST_P(restored_tickets, a_node_that_starts_after_the_restore_agrees_with_the_others_once_ready)
{
    forEachSeed([](restored_fleet& fleet) {
        fleet.restore(8);
        fleet.start(1);
        for (int elapsed = 0; elapsed < 5000; elapsed += 5) {
            fleet.run(ms(5));
            if (fleet.ready(1)) {
                ASSERT_EQ(fleet.state(1), numbered(10)) << "ready after " << elapsed << " ms";
            }
        }
        EXPECT_TRUE(fleet.ready(1));
        EXPECT_EQ(fleet.table(), numbered(10));
    });
}

TEST_P(restored_tickets, nodes_that_were_frozen_or_cut_off_follow)
{
    forEachSeed([](restored_fleet& fleet) {
        fleet.setFrozen(1, true);
        fleet.setCutFromTable(2, true);
        fleet.setCutFromPeers(3, true);
        fleet.setTableDown(true);
        fleet.run(ms(2000));
        fleet.restore(8);
        fleet.setTableDown(false);
        fleet.file("another 9");
        fleet.run(ms(3000));
        fleet.setFrozen(1, false);
        fleet.run(Settling);
        EXPECT_EQ(fleet.differing(fleet.table()), 0u);
        EXPECT_EQ(fleet.state(2)[8], "another 9") << "cut off from the table only";
        fleet.setCutFromPeers(3, false);
        fleet.run(Settling);
        EXPECT_EQ(fleet.differing(fleet.table()), 0u);
    });
}

TEST(restored_tickets_load, all_nodes_together_read_the_table_seldom_after_a_restore)
{
    restored_fleet fleet(370, 10, 1);
    const auto before = fleet.readsOfTail();
    fleet.restore(8);
    fleet.run(ms(10'000));
    EXPECT_EQ(fleet.table(), numbered(10));
    // The table allows 2,000 reads per second; a read of the tail takes two.
    EXPECT_LT(fleet.readsOfTail() - before, 1000u);
    RecordProperty("tail_reads", static_cast<int>(fleet.readsOfTail() - before));
}

INSTANTIATE_TEST_SUITE_P(fleets, restored_tickets, testing::Values(6u, 40u, 370u));
