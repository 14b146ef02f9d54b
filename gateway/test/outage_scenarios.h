/// \file
/// Scenarios for tests of nodes after outages of the store: the age of their tables, and the rate of reads.
#pragma once

#include "gateway/test/restore_scenarios.h"

namespace oriolepick {

/// A tenth of the calls that the store serves, whatever the number of nodes.
constexpr std::size_t MaxReadsPerSecond = 200;

/// What happens in a series of outages.
struct outage_plan {
    std::vector<outage_kind> kinds;
    std::vector<trouble> troubles; ///< of nodes, around each outage
    bool partly = false; ///< the store leaves some nodes without response for longer than the others
};

/// Fleets that lose the store five times.
class ReturningStore : public testing::TestWithParam<fleet_size> {
protected:
    // The operator's change is acknowledged as soon as the store is back.
    static void expectCurrent(news_simulation& fleet, std::string& late)
    {
        fleet.changeConfiguration();
        fleet.at(fleet.settings().bound, [&fleet, &late, version = fleet.newestVersion()] {
            for (const auto& node : fleet.nodes()) {
                if (fleet.isUndisturbed(node) && node.configVersion < version)
                    late += concatenated(
                        node.id.value(), " has version ", node.configVersion, " instead of ", version, "; ");
            }
        });
    }

    static void silenceSomeNodes(news_simulation& fleet, std::chrono::milliseconds time)
    {
        for (std::size_t index = 0; index < fleet.nodes().size(); ++index) {
            if (fleet.random().below(3))
                fleet.silenceNode(index, time);
        }
    }

    static void loseStoreOften(news_simulation& fleet, const outage_plan& plan, std::string& late)
    {
        auto begin = randomTime(fleet, 1s, 2s);
        for (int outage = 0; outage < 5; ++outage) {
            const auto length = randomTime(fleet, 300ms, 9s);
            const auto kind = plan.kinds[fleet.random().below(plan.kinds.size())];
            fleet.at(begin, [&fleet, length, kind] { fleet.failStore(length, kind); });
            fleet.at(begin + length + 1ms, [&fleet, &late] { expectCurrent(fleet, late); });
            if (plan.partly)
                fleet.at(begin, [&fleet, length] { silenceSomeNodes(fleet, length); });
            if (!plan.troubles.empty())
                fleet.at(std::max(begin - 1s, 0ms),
                    [&fleet, plan, length] { disturbNodes(fleet, plan.troubles, length, 700ms); });
            begin += length + randomTime(fleet, fleet.settings().contactTime, fleet.settings().contactTime + 3s);
        }
        fleet.run(begin);
    }

    static void expectNoDelay(const outage_plan& plan)
    {
        const auto size = GetParam();
        for (auto seed = size.firstSeed; seed <= size.lastSeed; ++seed) {
            std::string late;
            news_simulation fleet(fleetOf(size.nodes), seed * 1'000 + size.nodes);
            fleet.startAllNodes();
            fleet.run(8s);
            fleet.mostReadsPerSecond = 0;
            fleet.checkPeriodically(50ms);
            changeEverything(fleet, 20s);
            loseStoreOften(fleet, plan, late);
            EXPECT_EQ(late, "") << "seed " << seed;
            EXPECT_LE(fleet.mostReadsPerSecond, MaxReadsPerSecond) << "seed " << seed;
            EXPECT_TRUE(fleet.failures.empty())
                << fleet.failures.size() << " failures, seed " << seed << ": " << fleet.failures.front();
        }
    }
};

inline std::string fleetName(const testing::TestParamInfo<fleet_size>& size)
{
    return std::to_string(size.param.nodes) + "Nodes";
}

} // namespace oriolepick
