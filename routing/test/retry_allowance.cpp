// Guards against a retry storm: the retries of all nodes must keep the ratio of the deployment in any window.
#include "routing/retry_allowance.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

// Load pattern: every request fails and is retried without end, on every node.
TEST(RetryAllowance, AllNodesTogetherKeepTheRatio)
{
    const allowance_settings settings;
    constexpr int Nodes = 84;
    constexpr int RequestsPerNode = 4;
    const service_name service("s");
    instant now { 1000s };
    int repeats = 0;
    for (int node = 0; node < Nodes; ++node) {
        retry_allowance allowance(settings);
        for (int request = 0; request < RequestsPerNode; ++request) {
            const auto at = now + request * settings.window / RequestsPerNode;
            allowance.recordRequest(service, at);
            while (allowance.take(service, at))
                ++repeats;
        }
    }
    EXPECT_LE(repeats, settings.ratio * Nodes * RequestsPerNode + settings.slack);
    EXPECT_GE(repeats, 0.5 * settings.ratio * Nodes * RequestsPerNode) << "the budget must be usable";
}

TEST(RetryAllowance, OneServiceDoesNotSpendForAnother)
{
    retry_allowance allowance(allowance_settings {});
    const instant now { 1000s };
    while (allowance.take(service_name("a"), now)) { }
    EXPECT_TRUE(allowance.take(service_name("b"), now));
    EXPECT_EQ(allowance.denied(), 1U);
}

} // namespace
