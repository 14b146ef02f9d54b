/// \file
/// Allocation of places while allocators and messages fail: guards against requests without a decision and against
/// places that are lost for good. The load pattern is that of a plain service below its capacity.
#include "routing/test/place_simulation.h"

#include <gtest/gtest.h>

namespace oriolepick {
namespace {

    using ms = std::chrono::milliseconds;

    constexpr double Load = 250; // requests per second
    /// The longest time limit of an answer is 60 ms; a check that runs late is repeated after 20 ms.
    constexpr ms LongestSilence { 85 };

    place_fleet_settings fleetOf(double loss)
    {
        place_fleet_settings settings;
        settings.allocates = !isAllocationOff();
        settings.loss = loss;
        return settings;
    }

    void runDisturbed(const char* name, double loss, const std::function<void(place_simulation&)>& disturb,
        const std::function<void(place_simulation&)>& mend)
    {
        place_simulation fleet(fleetOf(loss), 7);
        fleet.runLoad(ms(3'000), Load, false);
        const auto before = fleet.localDecisions;
        fleet.longestUndecided = ms(0);
        fleet.figures = {};
        disturb(fleet);
        fleet.runLoad(ms(4'500), Load, false);
        const auto during = fleet.localDecisions - before;
        const auto disturbed = fleet.figures;
        EXPECT_LE(fleet.longestUndecided, LongestSilence);
        mend(fleet);
        fleet.runLoad(ms(2'000), Load, false);
        fleet.figures = {};
        const auto mended = fleet.localDecisions;
        fleet.runLoad(ms(4'000), Load, false);
        const auto after = fleet.localDecisions - mended;
        const auto recovered = fleet.figures;
        fleet.runLoad(ms(5'000), 1e-6, false);
        const auto sent = fleet.datagrams;
        fleet.runLoad(ms(10'000), 1e-6, false);
        std::cout << "{\"run\":\"" << name << "\",\"local_during\":" << during << ",\"local_after\":" << after
                  << ",\"longest_undecided_ms\":" << fleet.longestUndecided.count()
                  << ",\"rejected_during\":" << disturbed.rejectedShare() << ",\"good_during\":" << disturbed.good
                  << ",\"callers_during\":" << disturbed.callers << ",\"good_after\":" << recovered.good
                  << ",\"callers_after\":" << recovered.callers << ",\"known_in_flight\":" << fleet.knownInFlight()
                  << ",\"idle_datagrams\":" << fleet.datagrams - sent << "}" << std::endl;
        EXPECT_GE(disturbed.good, disturbed.callers * 95 / 100);
        EXPECT_GE(recovered.good, recovered.callers * 98 / 100);
        if (loss <= 0.01) {
            EXPECT_LT(after, recovered.callers / 10) << "the allocator is not asked again";
        }
        EXPECT_EQ(fleet.inFlight(), 0U);
        EXPECT_EQ(fleet.knownInFlight(), 0U) << "places are lost";
        EXPECT_EQ(fleet.datagrams, sent) << "messages while idle";
        EXPECT_GT(fleet.datagrams, 0U) << "no places are allocated";
    }

    const auto Nothing = [](place_simulation&) {};

    TEST(PlaceFailures, AllocatorDies)
    {
        runDisturbed(
            "allocator_dies", 0.01, [](auto& fleet) { fleet.killNode(fleet.allocatorIndex()); }, Nothing);
    }

    TEST(PlaceFailures, AllocatorRestartsAtOnce)
    {
        runDisturbed(
            "allocator_restarts", 0.01,
            [](auto& fleet) {
                const auto index = fleet.allocatorIndex();
                fleet.killNode(index);
                fleet.restartNode(index);
            },
            Nothing);
    }

    TEST(PlaceFailures, AllocatorFreezes)
    {
        runDisturbed(
            "allocator_freezes", 0.01, [](auto& fleet) { fleet.freezeNode(fleet.allocatorIndex(), ms(2'000)); },
            Nothing);
    }

    TEST(PlaceFailures, AllocatorIsCutOff)
    {
        runDisturbed(
            "allocator_cut_off", 0.01, [](auto& fleet) { fleet.cutOff(fleet.allocatorIndex(), true); },
            [](auto& fleet) { fleet.cutOff(fleet.allocatorIndex(), false); });
    }

    TEST(PlaceFailures, MessagesAreLost)
    {
        runDisturbed("lossy_10", 0.1, Nothing, Nothing);
        runDisturbed("lossy_30", 0.3, Nothing, Nothing);
    }

    TEST(PlaceFailures, RequestersDie)
    {
        runDisturbed(
            "requesters_die", 0.01,
            [](auto& fleet) {
                for (std::size_t index = 0; index < fleet.nodeCount(); index += 3) {
                    if (index != fleet.allocatorIndex())
                        fleet.killNode(index);
                }
            },
            Nothing);
    }

} // namespace
} // namespace oriolepick
