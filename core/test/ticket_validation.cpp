// Guards against inconsistent tickets that reach the log, and against errors that validation does not report at once.
#include "core/ticket_validation.h"
#include "core/fleet_state.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace oriolepick;

namespace {

const fleet_name One("one");

std::shared_ptr<const fleet_state> oneFleet()
{
    ticket first { 1, "op", "", {} };
    first.objects.push_back(
        { { object_kind::Fleet, One, "one" }, fleet_settings { "", { availability_zone("z") }, 6 } });
    first.objects.push_back({ { object_kind::Policy, One, "now" }, policy_settings {} });
    first.objects.push_back({ { object_kind::Model, One, "m" }, model_settings { { model_version("1") }, {} } });
    target_settings target;
    target.address = "127.0.0.1:1";
    target.zone = availability_zone("z");
    first.objects.push_back({ { object_kind::Target, One, "w1" }, target });
    deployment_settings deployment;
    deployment.model = model_id(One, "m");
    deployment.version = model_version("1");
    deployment.targets = { target_id(One, "w1") };
    deployment.resumePolicy = "now";
    first.objects.push_back({ { object_kind::Deployment, One, "d" }, deployment });
    EXPECT_TRUE(validate(first, fleet_state()).empty()) << toString(validate(first, fleet_state()));
    return fleet_state().after({ first });
}

bool has(const std::vector<field_error>& errors, const std::string& path)
{
    return std::any_of(errors.begin(), errors.end(), [&](const field_error& error) { return error.path == path; });
}

} // namespace

TEST(ticket_validation, reports_every_error_by_field_path)
{
    const auto state = oneFleet();
    ticket change { 2, "op", "", {} };
    auto deployment = std::get<deployment_settings>(*state->find({ object_kind::Deployment, One, "d" }));
    deployment.version = model_version("9");
    deployment.resumePolicy = "never";
    deployment.targets = { target_id(One, "w1"), target_id(One, "w1"), target_id(One, "w7") };
    deployment.priorities = { 5, 1, 9 };
    change.objects.push_back({ { object_kind::Deployment, One, "d" }, deployment });
    change.objects.push_back({ { object_kind::Deployment, One, "d" }, deployment });
    change.objects.push_back({ { object_kind::Team, One, "nobody" }, std::nullopt });
    target_settings twin;
    twin.address = "127.0.0.1:1";
    twin.zone = availability_zone("elsewhere");
    change.objects.push_back({ { object_kind::Target, One, "w2" }, twin });
    change.objects.push_back({ { object_kind::Alias, One, "both" }, alias_settings {} });
    change.objects.push_back({ { object_kind::Team, fleet_name("two"), "desk" }, team_settings {} });
    const auto errors = validate(change, *state);
    for (const auto* path : { "objects[1]", "objects[2]", "objects[0].state.version", "objects[0].state.resume_policy",
             "objects[0].state.targets[1]", "objects[0].state.targets[2]", "objects[0].state.priorities",
             "objects[3].state.zone", "objects[3].state.address", "objects[4].state", "objects[5].fleet" })
        EXPECT_TRUE(has(errors, path)) << path << " missing in: " << toString(errors);
}

TEST(ticket_validation, a_deletion_that_leaves_a_reference_names_the_object_that_holds_it)
{
    const auto errors = validate({ 2, "op", "",
                                     { { { object_kind::Target, One, "w1" }, std::nullopt },
                                         { { object_kind::Policy, One, "now" }, std::nullopt },
                                         { { object_kind::Model, One, "m" }, std::nullopt } } },
        *oneFleet());
    EXPECT_TRUE(has(errors, "deployment one/d.state.targets[0]")) << toString(errors);
    EXPECT_TRUE(has(errors, "deployment one/d.state.resume_policy"));
    EXPECT_TRUE(has(errors, "deployment one/d.state.model"));
}

TEST(ticket_validation, a_target_runs_one_model_for_all_of_its_deployments)
{
    const auto state = oneFleet();
    auto deployment = std::get<deployment_settings>(*state->find({ object_kind::Deployment, One, "d" }));
    EXPECT_TRUE(validate({ 2, "op", "", { { { object_kind::Deployment, One, "e" }, deployment } } }, *state).empty());
    model_settings model { { model_version("1"), model_version("2") }, {} };
    deployment.version = model_version("2");
    const auto errors = validate(
        { 2, "op", "",
            { { { object_kind::Model, One, "m" }, model }, { { object_kind::Deployment, One, "e" }, deployment } } },
        *state);
    EXPECT_TRUE(has(errors, "objects[1].state.targets")) << toString(errors);
}

TEST(ticket_validation, an_objective_names_a_deployment_unless_it_covers_the_fleet)
{
    const auto errorsOf = [](objective_metric metric, std::optional<deployment_id> deployment, double goal) {
        ticket change { 2, "op", "", {} };
        change.objects.push_back(
            { { object_kind::Objective, One, "o" }, objective_settings { std::move(deployment), metric, 99, goal } });
        return validate(change, *oneFleet());
    };
    const deployment_id known(One, "d");
    EXPECT_TRUE(errorsOf(objective_metric::SuccessShare, known, 0.999).empty());
    EXPECT_TRUE(errorsOf(objective_metric::AtMostOnceShare, std::nullopt, 1).empty());
    EXPECT_TRUE(errorsOf(objective_metric::TicketDelayMs, std::nullopt, 13'000).empty());
    EXPECT_TRUE(has(errorsOf(objective_metric::SuccessShare, std::nullopt, 1), "objects[0].state.deployment"));
    EXPECT_TRUE(has(errorsOf(objective_metric::AtMostOnceShare, known, 1), "objects[0].state.deployment"));
    EXPECT_TRUE(
        has(errorsOf(objective_metric::FirstTokenMs, deployment_id(One, "gone"), 780), "objects[0].state.deployment"));
    EXPECT_TRUE(has(errorsOf(objective_metric::TruthfulRefusalShare, std::nullopt, 2), "objects[0].state.goal"));
}
