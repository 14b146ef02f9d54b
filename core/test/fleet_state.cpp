// Guards the fold of tickets: names of one fleet reaching another, dangling state after a deletion, and streams that
// lose their deployment when a ticket renames, merges or retires it.
#include "core/fleet_state.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

const fleet_name One("one");
const fleet_name Two("two");

ticket_object object(object_kind kind, const fleet_name& fleet, const std::string& name, object_state state)
{
    return { { kind, fleet, name }, std::move(state) };
}

ticket_object deletion(object_kind kind, const fleet_name& fleet, const std::string& name)
{
    return { { kind, fleet, name }, std::nullopt };
}

deployment_settings deploymentOf(const fleet_name& fleet, const std::string& version, std::vector<std::string> targets)
{
    deployment_settings settings;
    settings.model = model_id(fleet, "assistant");
    settings.version = model_version(version);
    for (auto& name : targets)
        settings.targets.emplace_back(fleet, std::move(name));
    settings.resumePolicy = "now";
    return settings;
}

std::shared_ptr<const fleet_state> twoFleets()
{
    ticket first { 1, "op", "", {} };
    for (const auto& fleet : { One, Two }) {
        first.objects.push_back(
            object(object_kind::Fleet, fleet, fleet.value(), fleet_settings { "", { availability_zone("z") }, 6 }));
        team_settings team;
        team.tokenDigests = { std::string(64, fleet == One ? 'a' : 'b') };
        first.objects.push_back(object(object_kind::Team, fleet, "desk", team));
        first.objects.push_back(
            object(object_kind::Deployment, fleet, "assistant", deploymentOf(fleet, "1", { "w1", "w2" })));
        for (const auto* name : { "w1", "w2" })
            first.objects.push_back(object(object_kind::Target, fleet, name, target_settings {}));
    }
    return fleet_state().after({ first });
}

} // namespace

TEST(fleet_state, resolves_equal_names_within_the_callers_fleet)
{
    const auto state = twoFleets();
    EXPECT_EQ(state->resolveDeployment(One, "assistant"), deployment_id(One, "assistant"));
    EXPECT_EQ(state->resolveDeployment(Two, "assistant"), deployment_id(Two, "assistant"));
    EXPECT_FALSE(state->resolveDeployment(fleet_name("three"), "assistant"));
    EXPECT_EQ(state->teamByTokenDigest(std::string(64, 'b')), team_id(Two, "desk"));
    EXPECT_FALSE(state->teamByTokenDigest(std::string(64, 'c')));
}

TEST(fleet_state, alias_is_seen_by_its_own_fleet_only_and_before_objects)
{
    alias_settings alias;
    alias.deployment = deployment_id(One, "assistant");
    const auto state = twoFleets()->after({ { 2, "op", "",
        { object(object_kind::Alias, Two, "helper", alias), object(object_kind::Alias, Two, "assistant", alias) } } });
    EXPECT_EQ(state->resolveDeployment(Two, "helper"), deployment_id(One, "assistant"));
    EXPECT_EQ(state->resolveDeployment(Two, "assistant"), deployment_id(One, "assistant"));
    EXPECT_FALSE(state->resolveDeployment(One, "helper"));
}

TEST(fleet_state, whole_objects_replace_earlier_ones)
{
    const auto state = twoFleets()->after(
        { { 2, "op", "", { object(object_kind::Team, One, "desk", team_settings { { std::string(64, 'd') } }) } } });
    EXPECT_FALSE(state->teamByTokenDigest(std::string(64, 'a')));
    EXPECT_EQ(state->teamByTokenDigest(std::string(64, 'd')), team_id(One, "desk"));
}

TEST(fleet_state, rename_keeps_running_streams_resolvable)
{
    const auto before = twoFleets();
    alias_settings alias;
    alias.deployment = deployment_id(One, "renamed");
    const auto after = before->after({ { 2, "op", "",
        { object(object_kind::Deployment, One, "renamed", deploymentOf(One, "1", { "w1", "w2" })),
            deletion(object_kind::Deployment, One, "assistant"),
            object(object_kind::Alias, One, "assistant", alias) } } });
    EXPECT_EQ(after->resolveDeployment(One, "assistant"), deployment_id(One, "renamed"));
    EXPECT_FALSE(after->deployment(deployment_id(One, "assistant")));
    ASSERT_TRUE(after->deploymentForStream(deployment_id(One, "assistant")));
    EXPECT_EQ(after->deploymentForStream(deployment_id(One, "assistant"))->version, model_version("1"));
    EXPECT_TRUE(before->deployment(deployment_id(One, "assistant"))) << "an earlier state must not change";
}

TEST(fleet_state, split_moves_targets_and_drops_the_desired_model_of_unlisted_ones)
{
    const auto state = twoFleets()->after(
        { { 2, "op", "", { object(object_kind::Deployment, One, "assistant", deploymentOf(One, "2", { "w1" })) } } });
    EXPECT_EQ(state->desired(target_id(One, "w1"))->model->version, model_version("2"));
    EXPECT_FALSE(state->desired(target_id(One, "w2"))->model);
    EXPECT_FALSE(state->desired(target_id(One, "w9")));
}

TEST(fleet_state, retired_deployments_are_forgotten_at_the_same_number_everywhere)
{
    auto state = twoFleets()->after({ { 2, "op", "", { deletion(object_kind::Deployment, One, "assistant") } } });
    std::vector<ticket> tail;
    for (ticket_number number = 3; number < 2 + RetiredDeploymentRetentionTickets; ++number)
        tail.push_back({ number, "op", "", {} });
    state = state->after(tail);
    EXPECT_TRUE(state->deploymentForStream(deployment_id(One, "assistant")));
    state = state->after({ { 2 + RetiredDeploymentRetentionTickets, "op", "", {} } });
    EXPECT_FALSE(state->deploymentForStream(deployment_id(One, "assistant")));
}
