// Guards against recommendations that use more workers than exist, serve the most loaded model last, or change with
// small fluctuations of demand.
#include "core/capacity_advisor.h"
#include "core/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace oriolepick;

namespace {

model_demand demand(const std::string& name, double tokens, std::uint32_t workers)
{
    return { model_id(fleet_name("atelier"), name), tokens, 100, workers };
}

} // namespace

RC_GTEST_PROP(capacity_advisor, never_suggests_more_workers_than_exist, (std::uint64_t seed))
{
    seeded_random random(seed);
    std::vector<model_demand> demands;
    auto spare = static_cast<std::uint32_t>(random.below(5));
    std::uint32_t existing = spare;
    for (std::uint64_t count = random.below(8); count > 0; --count) {
        demands.push_back(demand(std::to_string(count), static_cast<double>(random.below(3000)),
            static_cast<std::uint32_t>(random.below(10))));
        existing += demands.back().workers;
    }
    std::uint32_t suggested = 0;
    for (const auto& advice : adviseCapacity(demands, spare))
        suggested += advice.suggested;
    RC_ASSERT(suggested <= existing);
}

TEST(capacity_advisor, moves_idle_workers_to_the_most_loaded_model)
{
    const auto advice = adviseCapacity({ demand("idle", 50, 10), demand("busy", 900, 8), demand("busier", 600, 3) }, 0);
    EXPECT_EQ(advice[0].suggested, 2u);
    EXPECT_EQ(advice[2].suggested, 9u);
    EXPECT_EQ(advice[1].suggested, 10u);
    EXPECT_NE(advice[1].reason.find("no more available"), std::string::npos);
}

TEST(capacity_advisor, small_fluctuations_change_nothing)
{
    for (const double tokens : { 420.0, 500.0, 690.0 })
        EXPECT_EQ(adviseCapacity({ demand("steady", tokens, 10) }, 3)[0].suggested, 10u) << tokens;
    EXPECT_EQ(adviseCapacity({ demand("new", 10, 0) }, 3)[0].suggested, 2u);
}
