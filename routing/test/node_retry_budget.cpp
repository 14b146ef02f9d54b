// Guards against a retry storm: the retries of all nodes must keep the ratio of the deployment in any window.
#include "routing/node_retry_budget.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

// Load pattern: every request fails and is retried without end, on every node.
TEST(NodeRetryBudget, FleetKeepsTheRetryRatio)
{
    const node_retry_budget_settings settings;
    constexpr int Nodes = 84;
    constexpr int RequestsPerNode = 4;
    const service_name service("s");
    instant now { 1000s };
    int retries = 0;
    for (int node = 0; node < Nodes; ++node) {
        node_retry_budget budget(settings);
        for (int request = 0; request < RequestsPerNode; ++request) {
            const auto at = now + request * settings.window / RequestsPerNode;
            budget.recordRequest(service, at);
            while (budget.take(service, at))
                ++retries;
        }
    }
    EXPECT_LE(retries, settings.ratio * Nodes * RequestsPerNode + settings.minRetries);
    EXPECT_GE(retries, 0.5 * settings.ratio * Nodes * RequestsPerNode) << "the budget must be usable";
}

TEST(NodeRetryBudget, ServicesHaveSeparateBudgets)
{
    node_retry_budget budget(node_retry_budget_settings {});
    const instant now { 1000s };
    while (budget.take(service_name("a"), now)) { }
    EXPECT_TRUE(budget.take(service_name("b"), now));
    EXPECT_EQ(budget.deniedRetries(), 1U);
}

// Guards against streams that are broken off because restarts of other requests have used up the budget.
TEST(NodeRetryBudget, TheReserveIsLeftForOthers)
{
    node_retry_budget budget(node_retry_budget_settings {});
    const instant now { 1000s };
    const service_name service("s");
    while (budget.take(service, now, 1)) { }
    EXPECT_FALSE(budget.mayTake(service, now, 1));
    EXPECT_TRUE(budget.mayTake(service, now));
    EXPECT_TRUE(budget.take(service, now));
    EXPECT_FALSE(budget.take(service, now));
}

} // namespace
