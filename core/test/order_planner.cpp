// Guards orders to targets: more than the declared share out of service, a change before the streams have ended, more
// loads than the weight store allows, and targets that stay wrong after stale, lost or repeated orders.
#include "core/order_planner.h"
#include "core/seeded_random.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

const fleet_name One("one");
constexpr double Share = 0.25;

model_ref version(const char* text)
{
    return { model_id(One, "m"), model_version(text), adapter_name() };
}

/// A target that executes orders; it may or may not check fencing numbers.
struct fake_target {
    planned_target state;
    bool checksFencing = false;
    std::uint64_t highestFencing = 0;

    void execute(const target_order& order)
    {
        if (checksFencing && order.fencing < highestFencing)
            return;
        highestFencing = std::max(highestFencing, order.fencing);
        auto& loaded = state.loaded;
        const auto found = std::find(loaded.begin(), loaded.end(), order.model);
        if (order.kind == order_kind::Drain || order.kind == order_kind::Undrain)
            state.draining = order.kind == order_kind::Drain;
        else if (order.kind == order_kind::Role)
            state.role = order.role;
        else if (order.kind == order_kind::Load && found == loaded.end())
            loaded.push_back(order.model);
        else if (order.kind == order_kind::Unload && found != loaded.end())
            loaded.erase(found);
    }
};

class simulated_targets {
public:
    simulated_targets()
    {
        for (int index = 0; index < 12; ++index) {
            fake_target target;
            target.state.target = target_id(One, "w" + std::to_string(index));
            target.state.zone = availability_zone(index % 3 ? (index % 3 == 1 ? "b" : "c") : "a");
            target.state.capacity = 1;
            target.state.wanted = version("1");
            target.state.wantedRole = target.state.role = "mixed";
            target.state.reachable = true;
            target.state.loaded = { version("1") };
            target.checksFencing = index % 2;
            targets.push_back(target);
        }
        for (const auto* zone : { "a", "b", "c" })
            m_planners.emplace(zone, order_planner({})).first->second.setLoadsPerMinute(600);
    }

    void setDesired(const char* text, const std::string& role)
    {
        for (auto& target : targets) {
            target.state.wanted = version(text);
            target.state.wantedRole = role;
        }
        ++ticket;
    }

    std::vector<planned_target> observed() const
    {
        std::vector<planned_target> view;
        for (const auto& target : targets)
            view.push_back(target.state);
        return view;
    }

    std::vector<target_order> plan(const std::string& zone, std::uint64_t fencing)
    {
        return plan(zone, fencing, observed());
    }

    /// Each zone has a holder of its own.
    std::vector<target_order> plan(
        const std::string& zone, std::uint64_t fencing, const std::vector<planned_target>& seen)
    {
        return m_planners.at(zone).plan(now, seen, availability_zone(zone), Share, { fencing, ticket });
    }

    fake_target& findTarget(const target_id& id)
    {
        return *std::find_if(
            targets.begin(), targets.end(), [&](const fake_target& target) { return target.state.target == id; });
    }

    int outOfService() const
    {
        return static_cast<int>(std::count_if(targets.begin(), targets.end(),
            [](const fake_target& target) { return target.state.draining || target.state.loaded.empty(); }));
    }

    bool isReconciled() const
    {
        return std::all_of(targets.begin(), targets.end(), [](const fake_target& target) {
            return target.state.loaded == std::vector<model_ref> { *target.state.wanted } && !target.state.draining
                && target.state.role == target.state.wantedRole;
        });
    }

    std::vector<fake_target> targets;
    instant now { std::chrono::hours(1) };
    std::uint64_t ticket = 1;

private:
    std::map<std::string, order_planner> m_planners;
};

} // namespace

TEST(order_planner, a_new_version_rolls_out_within_the_share_and_after_the_streams_end)
{
    simulated_targets world;
    seeded_random random(3);
    for (auto& target : world.targets)
        target.state.runningRequests = 2;
    world.setDesired("2", "decode");
    int most = 0;
    for (int round = 0; round < 400 && !world.isReconciled(); ++round) {
        world.now += milliseconds(500);
        for (const auto* zone : { "a", "b", "c" }) {
            for (const auto& order : world.plan(zone, 1)) {
                auto& target = world.findTarget(order.target);
                if (order.kind == order_kind::Unload || order.kind == order_kind::Load)
                    EXPECT_EQ(target.state.runningRequests, 0) << "changed under running streams";
                target.execute(order);
            }
        }
        most = std::max(most, world.outOfService());
        for (auto& target : world.targets) {
            if (target.state.draining && random.below(3) == 0)
                target.state.runningRequests = std::max(0, target.state.runningRequests - 1);
        }
    }
    EXPECT_TRUE(world.isReconciled());
    EXPECT_LE(most, 3);
    EXPECT_GE(most, 1);
}

TEST(order_planner, late_reports_in_any_order_do_not_exceed_the_share)
{
    simulated_targets world;
    world.setDesired("2", "mixed");
    seeded_random random(5);
    auto late = world.observed();
    for (int round = 0; round < 400 && !world.isReconciled(); ++round) {
        world.now += milliseconds(500);
        for (std::size_t index = late.size() - 1; index > 0; --index)
            std::swap(late[index], late[random.below(index + 1)]);
        const auto seen = late;
        if (round % 3 == 0)
            late = world.observed();
        for (const auto* zone : { "a", "b", "c" }) {
            for (const auto& order : world.plan(zone, 1, seen))
                world.findTarget(order.target).execute(order);
        }
        EXPECT_LE(world.outOfService(), 3);
    }
    EXPECT_TRUE(world.isReconciled());
}

TEST(order_planner, a_drain_issued_before_the_lease_was_lost_does_not_block_other_zones)
{
    simulated_targets world;
    order_planner planner({});
    world.setDesired("2", "mixed");
    for (const auto& order : planner.plan(world.now, world.observed(), availability_zone("a"), Share, { 1, 1 }))
        EXPECT_EQ(order.kind, order_kind::Drain);
    for (auto& target : world.targets) {
        if (target.state.zone == availability_zone("a"))
            target.state.loaded = { version("2") }; // the next holder of zone a completed the change
    }
    world.now += milliseconds(11'000);
    EXPECT_EQ(planner.plan(world.now, world.observed(), availability_zone("b"), Share, { 1, 1 }).size(), 3u);
}

TEST(order_planner, loads_respect_the_weight_store_rate)
{
    simulated_targets world;
    for (auto& target : world.targets) {
        target.state.loaded.clear();
        target.state.zone = availability_zone("a");
    }
    order_planner planner({});
    planner.setLoadsPerMinute(6);
    int loads = 0;
    for (int second = 0; second < 60; ++second) {
        world.now += milliseconds(1000);
        for (const auto& order : planner.plan(world.now, world.observed(), availability_zone("a"), 1, { 1, 1 })) {
            loads += order.kind == order_kind::Load ? 1 : 0;
            world.findTarget(order.target).execute(order);
        }
    }
    EXPECT_GE(loads, 6);
    EXPECT_LE(loads, 7);
}

TEST(order_planner, a_leaving_target_is_drained_at_once_and_gets_no_load)
{
    simulated_targets world;
    world.setDesired("2", "mixed");
    for (int index : { 0, 3, 6, 9 })
        world.targets[static_cast<std::size_t>(index)].state.leaving = true;
    for (int round = 0; round < 5; ++round) {
        world.now += milliseconds(2000);
        for (const auto& order : world.plan("a", 1)) {
            EXPECT_EQ(order.kind, order_kind::Drain);
            world.findTarget(order.target).execute(order);
        }
    }
    for (int index : { 0, 3, 6, 9 })
        EXPECT_TRUE(world.targets[static_cast<std::size_t>(index)].state.draining);
}

TEST(order_planner, targets_converge_after_stale_lost_and_repeated_orders)
{
    EXPECT_TRUE(rc::check("random orders of an earlier holder", [] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        seeded_random random(seed);
        simulated_targets world;
        std::vector<target_order> late; // planned by a holder that was paused before sending
        for (int round = 0; round < 60; ++round) {
            world.now += milliseconds(500 * (1 + random.below(6)));
            if (random.below(10) == 0)
                world.setDesired(random.below(2) ? "2" : "3", random.below(2) ? "mixed" : "prefill");
            for (const auto* zone : { "a", "b", "c" }) {
                for (const auto& order : world.plan(zone, 1 + static_cast<std::uint64_t>(round) / 10)) {
                    const auto delivery = random.below(4);
                    if (delivery == 0)
                        late.push_back(order);
                    else if (delivery != 1)
                        world.findTarget(order.target).execute(order);
                }
            }
            if (!late.empty() && random.below(2)) {
                const auto index = random.below(late.size());
                world.findTarget(late[index].target).execute(late[index]);
                if (random.below(2))
                    late.erase(late.begin() + static_cast<std::ptrdiff_t>(index));
            }
        }
        for (int round = 0; round < 1500 && !world.isReconciled(); ++round) {
            world.now += milliseconds(2000);
            for (const auto* zone : { "a", "b", "c" }) {
                for (const auto& order : world.plan(zone, 100))
                    world.findTarget(order.target).execute(order);
            }
        }
        RC_ASSERT(world.isReconciled());
    }));
}
