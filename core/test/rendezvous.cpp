// Guards that nodes agree on who is responsible for a key, and that changes of the list move little.
#include "core/rendezvous.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace oriolepick;

namespace {

std::vector<node_id> nodes(int count)
{
    std::vector<node_id> list;
    for (int number = 0; number < count; ++number)
        list.emplace_back("10.0.0." + std::to_string(number) + ":7200");
    return list;
}

TEST(rendezvous, order_of_the_list_does_not_matter)
{
    auto reversed = nodes(50);
    std::reverse(reversed.begin(), reversed.end());
    for (std::uint64_t key = 0; key < 100; ++key)
        EXPECT_EQ(responsibleNodes(key, nodes(50), 3), responsibleNodes(key, reversed, 3));
    EXPECT_TRUE(responsibleNodes(1, {}, 3).empty());
    EXPECT_EQ(responsibleNodes(1, nodes(2), 3).size(), 2u);
}

TEST(rendezvous, removed_node_is_replaced_by_the_next)
{
    for (std::uint64_t key = 0; key < 100; ++key) {
        const auto before = responsibleNodes(key, nodes(50), 3);
        auto left = nodes(50);
        left.erase(std::find(left.begin(), left.end(), before[0]));
        const auto after = responsibleNodes(key, left, 3);
        EXPECT_EQ(after[0], before[1]);
        EXPECT_EQ(after[1], before[2]);
    }
}

TEST(rendezvous, keys_are_spread_evenly)
{
    std::map<node_id, int> count;
    for (std::uint64_t key = 0; key < 10'000; ++key)
        ++count[responsibleNodes(key * 0x9e3779b97f4a7c15U, nodes(20), 1)[0]];
    for (const auto& [node, keys] : count)
        EXPECT_NEAR(keys, 500, 125);
}

} // namespace
