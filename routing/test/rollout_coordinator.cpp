// Guards against requests to a version that nothing allows, and against work for services without an order. The
// decisions of whole fleets are tested in rollout_simulation and rollout_faults.
#include "routing/rollout_coordinator.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

using ms = std::chrono::milliseconds;
using kind = version_choice::kind;

class RolloutCoordinator : public testing::Test {
protected:
    rollout_target target(const char* name, const char* version)
    {
        return { target_name(name), availability_zone("z"), version };
    }
    std::vector<rollout_target> oldTargets() { return { target("a", "v1"), target("b", "v1"), target("c", "v1") }; }
    std::vector<rollout_target> bothVersions()
    {
        auto targets = oldTargets();
        for (const auto* name : { "x", "y", "z" })
            targets.push_back(target(name, "v2"));
        return targets;
    }

    void order(const char* version = "v2", std::uint64_t revision = 5)
    {
        node.orderSeen({ service, version, 30'000ms, revision }, now);
    }

    kind choice() { return node.choiceFor(service, now).which; }
    std::string version() { return node.choiceFor(service, now).version; }

    // Receives the state of another node.
    rollout_actions state(rollout_phase phase, double share, std::uint64_t revision = 7)
    {
        return node.receive(peer, rollout_state { service, 5, revision, phase, share }, now);
    }

    const service_name service { "chat" };
    const node_id peer { "10.0.0.2:1" };
    instant now { 100s };
    rollout_coordinator node { node_id("10.0.0.1:1"), 1, {}, seeded_random(1) };
};

TEST_F(RolloutCoordinator, DoesNothingWithoutAnOrder)
{
    node.setNodes({ peer }, now);
    node.setTargets(service, oldTargets(), now);
    node.recordRequest(service, now);
    EXPECT_EQ(node.nextDue(), instant::max());
    EXPECT_TRUE(node.tick(now + 1h).empty());
    EXPECT_TRUE(state(rollout_phase::Shifting, 1).empty());
    EXPECT_EQ(choice(), kind::Any);
    EXPECT_FALSE(node.mayExpose(service, now));
    EXPECT_EQ(node.requestPermit(service, now).decision, exposure_decision::Denied);
}

TEST_F(RolloutCoordinator, HoldsBackAVersionWhoseOrderMayBeInTransit)
{
    node.setTargets(service, oldTargets(), now);
    node.setTargets(service, bothVersions(), now);
    EXPECT_EQ(choice(), kind::NewOnly);
    EXPECT_EQ(version(), "v1");
    now += rollout_settings().newsBound;
    EXPECT_EQ(choice(), kind::Any);
}

TEST_F(RolloutCoordinator, SendsNothingToTheVersionUntilAStateIsKnownAndAfterItExpired)
{
    node.setNodes({ peer }, now);
    node.setTargets(service, bothVersions(), now);
    order();
    EXPECT_EQ(choice(), kind::OldOnly);
    EXPECT_FALSE(node.mayExpose(service, now));
    state(rollout_phase::Shifting, 1);
    EXPECT_EQ(choice(), kind::NewOnly);
    now += 2s;
    EXPECT_EQ(choice(), kind::OldOnly);
}

TEST_F(RolloutCoordinator, UsesNoPermitThatArrivesLate)
{
    node.setNodes({ peer }, now);
    node.setTargets(service, bothVersions(), now);
    order();
    for (const auto delay : { 50ms, 51ms }) {
        state(rollout_phase::Observing, 1);
        const auto permit = node.requestPermit(service, now);
        ASSERT_EQ(permit.decision, exposure_decision::Pending);
        now += delay;
        const auto actions = node.receive(peer, exposure_answer { permit.number, true }, now);
        ASSERT_EQ(actions.size(), 1U);
        EXPECT_EQ(std::get<exposure_decided>(actions[0]).granted, delay == 50ms);
        EXPECT_TRUE(node.receive(peer, exposure_answer { permit.number, true }, now).empty());
    }
}

TEST_F(RolloutCoordinator, DecidesPendingPermitsWithoutAnAnswer)
{
    node.setNodes({ peer }, now);
    node.setTargets(service, bothVersions(), now);
    order();
    state(rollout_phase::Observing, 1);
    const auto permit = node.requestPermit(service, now);
    EXPECT_LE(node.nextDue(), now + 50ms);
    now += 50ms;
    const auto actions = node.tick(now);
    EXPECT_TRUE(std::any_of(actions.begin(), actions.end(), [&permit](const rollout_action& action) {
        const auto* decided = std::get_if<exposure_decided>(&action);
        return decided && decided->number == permit.number && !decided->granted;
    }));
}

TEST_F(RolloutCoordinator, IgnoresOutdatedStatesAndKeepsASuspendedShift)
{
    node.setNodes({ peer }, now);
    node.setTargets(service, bothVersions(), now);
    order();
    state(rollout_phase::Shifting, 0, 9);
    state(rollout_phase::Shifting, 1, 8);
    state(rollout_phase::Shifting, 1, 9); // delayed
    EXPECT_EQ(choice(), kind::OldOnly);
    state(rollout_phase::RolledBack, 0, 10);
    state(rollout_phase::Done, 0, 11);
    EXPECT_EQ(choice(), kind::OldOnly);
    EXPECT_EQ(node.phaseOf(service), rollout_phase::RolledBack);
}

TEST_F(RolloutCoordinator, UsesTheVersionWhenNoOtherIsLeft)
{
    node.setTargets(service, bothVersions(), now);
    order();
    node.setTargets(service, { target("x", "v2") }, now);
    EXPECT_EQ(choice(), kind::Any);
}

TEST_F(RolloutCoordinator, AvoidsAWithdrawnVersionAndAlsoTheNextOne)
{
    node.setTargets(service, bothVersions(), now);
    order();
    node.orderRemoved(service, now);
    EXPECT_EQ(choice(), kind::OldOnly);
    EXPECT_EQ(version(), "v2");
    order("v3", 6);
    auto targets = bothVersions();
    targets.push_back(target("w", "v3"));
    node.setTargets(service, targets, now);
    EXPECT_EQ(choice(), kind::NewOnly);
    EXPECT_EQ(version(), "v1");
}

TEST_F(RolloutCoordinator, SelectsCanariesFromAllZones)
{
    std::vector<rollout_target> targets = oldTargets();
    for (int index = 0; index < 144; ++index) {
        targets.push_back(
            { target_name("n" + std::to_string(index)), availability_zone("z" + std::to_string(index % 3)), "v2" });
    }
    order();
    node.setTargets(service, targets, now);
    std::map<availability_zone, std::size_t> canaries;
    for (const auto& candidate : targets)
        canaries[candidate.zone] += node.isCanary(service, candidate.name);
    for (int zone = 0; zone < 3; ++zone)
        EXPECT_EQ(canaries[availability_zone("z" + std::to_string(zone))], MaxCanaries / 3);
}

} // namespace
