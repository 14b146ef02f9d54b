// Guards the fake table's faults: tests of claims rely on lost responses and held commits behaving like the platform's.
#include "standins/fake_table.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const table_transaction Insert { { { "k", std::nullopt } }, { { "k", "v" } } };

} // namespace

TEST(fake_table, lost_response_takes_effect)
{
    fake_table table;
    platform_faults faults;
    faults.loseResponses = 1;
    table.setFaults(faults);
    EXPECT_EQ(table.commit(Insert, 1s).error().kind, error_kind::PlatformUnknown);
    EXPECT_EQ(table.commit(Insert, 1s).value().failedKeys, std::vector<std::string> { "k" });
}

TEST(fake_table, held_commit_takes_effect_on_release)
{
    fake_table table;
    platform_faults faults;
    faults.delayBefore = 1ms;
    table.setFaults(faults);
    EXPECT_EQ(table.commit(Insert, 1s).error().kind, error_kind::PlatformUnknown);
    table.setFaults({});
    EXPECT_FALSE(table.read("k", 1s).value());
    EXPECT_TRUE(table.releaseHeld());
    EXPECT_FALSE(table.releaseHeld());
    EXPECT_TRUE(table.read("k", 1s).value());
}

TEST(fake_table, down_has_no_effect_and_chance_follows_the_seed)
{
    fake_table table;
    platform_faults faults;
    faults.downRequests = 1;
    table.setFaults(faults);
    EXPECT_EQ(table.commit(Insert, 1s).error().kind, error_kind::PlatformUnavailable);
    EXPECT_FALSE(table.read("k", 1s).value());
    fault_switch first(7), second(7);
    faults.loseProbability = 0.5;
    first.set(faults);
    second.set(faults);
    int lost = 0;
    for (int index = 0; index < 100; ++index) {
        const bool loses = first.next(true).loseResponse;
        EXPECT_EQ(loses, second.next(true).loseResponse);
        lost += loses ? 1 : 0;
    }
    EXPECT_GT(lost, 20);
    EXPECT_LT(lost, 80);
}
