// Guards the emulated prefix cache: bounded memory, order of eviction, late events and gaps.
#include "standins/prompt_cache.h"

#include <gtest/gtest.h>

using namespace oriolepick;

TEST(prompt_cache, evicts_the_least_recently_used_and_the_end_of_a_prompt_first)
{
    prompt_cache cache(3, {});
    cache.store({ 1, 2 }, instant());
    cache.store({ 8, 9 }, instant());
    EXPECT_EQ(cache.size(), 3u);
    EXPECT_EQ(cache.use({ 1, 2 }), 1u);
    cache.store({ 7 }, instant());
    EXPECT_EQ(cache.use({ 1 }), 1u);
    EXPECT_EQ(cache.use({ 8, 9 }), 1u);
}

TEST(prompt_cache, events_are_late)
{
    prompt_cache cache(3, { std::chrono::milliseconds(100), 0, 1 });
    cache.store({ 1 }, instant());
    EXPECT_EQ(cache.eventsAfter(0, instant() + std::chrono::milliseconds(99)).last, 0u);
    EXPECT_EQ(cache.eventsAfter(0, instant() + std::chrono::milliseconds(100)).events.size(), 1u);
}

TEST(prompt_cache, lost_events_leave_gaps_in_the_numbers)
{
    prompt_cache cache(1000, { {}, 50, 7 });
    for (std::uint64_t block = 1; block <= 200; ++block)
        cache.store({ block }, instant());
    const auto report = cache.eventsAfter(0, instant());
    EXPECT_GT(report.events.size(), 50u);
    EXPECT_LT(report.events.size(), 150u);
    for (const auto& event : report.events)
        EXPECT_EQ(event.block, event.sequence);
}
