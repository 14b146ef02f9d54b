/// \file
/// Places at the targets of a plain service in a simulated fleet: guards against targets that reject requests while
/// others have room, and against a collapse of the goodput above capacity.
#include "routing/test/place_simulation.h"

#include <gtest/gtest.h>

namespace oriolepick {
namespace {

    using ms = std::chrono::milliseconds;

    constexpr std::size_t DeployedNodes = 81; ///< in front of the service whose figures are required

    place_fleet_settings fleetOf(std::size_t nodes, bool allocates, ms newsAge)
    {
        place_fleet_settings settings;
        settings.nodes = nodes;
        settings.allocates = allocates && !isAllocationOff();
        settings.newsAge = newsAge;
        return settings;
    }

    void print(const char* run, const place_fleet_settings& settings, const place_simulation& fleet)
    {
        const auto& seen = fleet.figures;
        std::cout << "{\"run\":\"" << run << "\",\"places\":" << settings.allocates << ",\"nodes\":" << settings.nodes
                  << ",\"news_ms\":" << settings.newsAge.count() << ",\"callers\":" << seen.callers
                  << ",\"good\":" << seen.good << ",\"late\":" << seen.late << ",\"load_ratio\":" << seen.meanRatio()
                  << ",\"wasted_ms_per_caller\":" << seen.wastedMs / static_cast<double>(seen.callers)
                  << ",\"rejected\":" << seen.rejectedShare() << ",\"refused\":" << seen.refusedShare()
                  << ",\"refused_callers\":" << seen.refusedCallerShare() << ",\"given_up\":" << seen.givenUpShare()
                  << ",\"local\":" << fleet.localDecisions << ",\"datagrams_per_attempt\":"
                  << static_cast<double>(fleet.datagrams) / static_cast<double>(seen.attempts) << ",\"kinds\":[";
        for (const auto count : fleet.byKind)
            std::cout << count << (&count == &fleet.byKind.back() ? "]}" : ",");
        std::cout << std::endl;
    }

    place_figures runWithoutTarget(std::size_t nodes, bool allocates, ms newsAge)
    {
        const auto settings = fleetOf(nodes, allocates, newsAge);
        place_simulation fleet(settings, 11 + nodes);
        fleet.runLoad(ms(3'000), 250, false);
        fleet.figures = {};
        fleet.datagrams = 0;
        fleet.loseTarget(1);
        fleet.runLoad(nodes == DeployedNodes ? ms(20'000) : ms(10'000), 250, true); // one wave takes 10 s
        print("one_of_three_lost", settings, fleet);
        return fleet.figures;
    }

    // 44% of arrivals were rejected behind 81 nodes that each saw their own requests only.
    TEST(PlaceLoads, TargetsRejectAlmostNothingWithOneLost)
    {
        for (const auto nodes : { std::size_t(6), DeployedNodes, std::size_t(295) }) {
            for (const auto age : { ms(100), ms(1'000), ms(5'000) }) {
                const auto today = runWithoutTarget(nodes, false, age);
                const auto places = runWithoutTarget(nodes, true, age);
                EXPECT_LT(places.rejectedShare(), 0.01);
                EXPECT_GT(today.rejectedShare(), 0.03) << "the load is too low to show a difference";
                // The wave is one of many here; with 295 nodes a little more capacity is lost between two requests.
                EXPECT_LT(places.refusedShare(), nodes == DeployedNodes ? 0.08 : 0.15);
                EXPECT_LT(places.givenUpShare(), 0.01);
                if (nodes == DeployedNodes) {
                    EXPECT_GT(places.good, today.good);
                }
                EXPECT_GE(places.good, today.good * 98 / 100); // rejected requests of today's rule return as good ones
                EXPECT_LT(places.meanRatio(), 1.25);
                EXPECT_LT(places.wastedMs, 1.5 * static_cast<double>(places.callers));
            }
        }
    }

    struct goodput {
        double before = 0;
        double during = 0;
        double after = 0;
    };

    goodput runOverload(bool allocates, double factor)
    {
        const auto settings = fleetOf(81, allocates, ms(100));
        place_simulation fleet(settings, 5);
        goodput seen;
        const auto measure = [&fleet](ms time, double load) {
            fleet.figures = {};
            fleet.datagrams = 0;
            fleet.byKind = {};
            fleet.runLoad(time, load * place_simulation::Capacity, false);
            return static_cast<double>(fleet.figures.good) / std::chrono::duration<double>(time).count();
        };
        measure(ms(2'000), 1);
        seen.before = measure(ms(4'000), 1);
        measure(ms(2'000), factor);
        seen.during = measure(ms(5'000), factor);
        print(("load_" + std::to_string(factor)).c_str(), settings, fleet);
        measure(ms(5'000), 1);
        seen.after = measure(ms(4'000), 1);
        std::cout << "{\"run\":\"overload\",\"places\":" << settings.allocates << ",\"factor\":" << factor
                  << ",\"good_before\":" << seen.before << ",\"good_during\":" << seen.during
                  << ",\"good_after\":" << seen.after << "}" << std::endl;
        return seen;
    }

    // Requests that wait until they are late take the places of those that could still be served in time.
    TEST(PlaceLoads, GoodputHoldsAboveCapacity)
    {
        for (const auto factor : { 1.2, 1.5, 2.0, 3.0 }) {
            const auto today = runOverload(false, factor);
            const auto places = runOverload(true, factor);
            EXPECT_GE(places.during, 0.9 * places.before) << factor;
            EXPECT_GE(places.after, 0.9 * places.before) << factor;
            EXPECT_GT(places.during, today.during) << factor;
        }
    }

} // namespace
} // namespace oriolepick
