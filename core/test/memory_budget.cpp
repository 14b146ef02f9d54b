// Guards against a process whose buffers together hold more than its machine has.
#include "core/memory_reservation.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

using namespace oriolepick;

namespace {

constexpr std::size_t Total = 1'000'000;
constexpr std::size_t GuaranteedPerBuffer = 1'000;

TEST(memory_budget, one_large_buffer_may_hold_half_the_budget)
{
    memory_budget budget(Total, GuaranteedPerBuffer);
    memory_reservation reservation(budget);
    EXPECT_TRUE(reservation.tryResize(Total / 2));
    EXPECT_FALSE(reservation.tryResize(Total));
    EXPECT_EQ(budget.used(), Total / 2);
}

TEST(memory_budget, many_growing_buffers_stay_within_the_total)
{
    memory_budget budget(Total, GuaranteedPerBuffer);
    std::vector<std::unique_ptr<memory_reservation>> reservations;
    for (int number = 0; number < 300; ++number)
        reservations.push_back(std::make_unique<memory_reservation>(budget));
    for (int round = 0; round < 1'000; ++round) {
        for (auto& reservation : reservations)
            reservation->tryResize(reservation->bytes() + 500);
    }
    EXPECT_LE(budget.peak(), Total);
    for (const auto& reservation : reservations)
        EXPECT_GE(reservation->bytes(), GuaranteedPerBuffer) << "nobody is shut out";
}

TEST(memory_budget, released_bytes_can_be_reserved_again)
{
    memory_budget budget(Total, GuaranteedPerBuffer);
    {
        memory_reservation large(budget);
        EXPECT_TRUE(large.tryResize(Total / 2));
        memory_reservation other(budget);
        EXPECT_FALSE(other.tryResize(Total / 2));
    }
    EXPECT_EQ(budget.used(), 0u);
    memory_reservation again(budget);
    EXPECT_TRUE(again.tryResize(Total / 2));
    EXPECT_TRUE(again.tryResize(10)) << "shrinking is always allowed";
}

TEST(memory_budget, guaranteed_bytes_are_granted_when_the_budget_is_exhausted)
{
    memory_budget budget(Total, GuaranteedPerBuffer);
    memory_reservation held(budget);
    held.set(2 * Total);
    memory_reservation small(budget);
    EXPECT_TRUE(small.tryResize(GuaranteedPerBuffer));
    EXPECT_FALSE(small.tryResize(GuaranteedPerBuffer + 1));
}

} // namespace
