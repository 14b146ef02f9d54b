// Checks that the buffers of a process together stay within the memory budget.
#include "core/memory_share.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

using namespace oriolepick;

namespace {

constexpr std::size_t Total = 1'000'000;
constexpr std::size_t Small = 1'000;

TEST(memory_budget, one_large_buffer_finds_room)
{
    memory_budget budget(Total, Small);
    memory_share share(budget);
    EXPECT_TRUE(share.tryResize(Total / 2));
    EXPECT_FALSE(share.tryResize(Total));
    EXPECT_EQ(budget.used(), Total / 2);
}

TEST(memory_budget, many_that_grow_without_end_stay_within_the_total)
{
    memory_budget budget(Total, Small);
    std::vector<std::unique_ptr<memory_share>> shares;
    for (int number = 0; number < 300; ++number)
        shares.push_back(std::make_unique<memory_share>(budget));
    for (int round = 0; round < 1'000; ++round) {
        for (auto& share : shares)
            share->tryResize(share->bytes() + 500);
    }
    EXPECT_LE(budget.peak(), Total);
    for (const auto& share : shares)
        EXPECT_GE(share->bytes(), Small) << "every buffer may hold its guaranteed bytes";
}

TEST(memory_budget, what_is_returned_can_be_taken_again)
{
    memory_budget budget(Total, Small);
    {
        memory_share large(budget);
        EXPECT_TRUE(large.tryResize(Total / 2));
        memory_share other(budget);
        EXPECT_FALSE(other.tryResize(Total / 2));
    }
    EXPECT_EQ(budget.used(), 0u);
    memory_share again(budget);
    EXPECT_TRUE(again.tryResize(Total / 2));
    EXPECT_TRUE(again.tryResize(10)) << "shrinking is always allowed";
}

TEST(memory_budget, small_buffers_pass_when_it_is_used_up)
{
    memory_budget budget(Total, Small);
    memory_share held(budget);
    held.set(2 * Total);
    memory_share small(budget);
    EXPECT_TRUE(small.tryResize(Small));
    EXPECT_FALSE(small.tryResize(Small + 1));
}

} // namespace
