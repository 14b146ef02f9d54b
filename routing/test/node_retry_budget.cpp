// Guards against a storm of repeats: the sum over all nodes must keep the deployment's ratio in any window.
#include "routing/node_retry_budget.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

// Pattern of load: every request fails and asks for repeats without end, on every node.
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
    EXPECT_GE(retries, 0.5 * settings.ratio * Nodes * RequestsPerNode) << "the allowance is there to be used";
}

TEST(NodeRetryBudget, ServicesHaveSeparateBudgets)
{
    node_retry_budget budget(node_retry_budget_settings {});
    const instant now { 1000s };
    while (budget.take(service_name("a"), now)) { }
    EXPECT_TRUE(budget.take(service_name("b"), now));
    EXPECT_EQ(budget.deniedRetries(), 1U);
}

} // namespace
