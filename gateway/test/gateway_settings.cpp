// Guards against settings that are misread, and against invalid settings that are accepted without an error.
#include "gateway/gateway_settings_json.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const std::string MinimalFields
    = R"("node":"n1","zone":"z1","caller_address":"10.0.0.1:80","readiness_address":"10.0.0.1:81",
 "peer_address":"10.0.0.1:83",
 "registry_address":"10.0.0.2:82")";

std::vector<field_error> problemsOf(const std::string& text)
{
    std::vector<field_error> problems;
    readGatewaySettings(text, problems);
    return problems;
}

TEST(GatewaySettings, MinimalSettingsHaveDefaults)
{
    std::vector<field_error> problems;
    const auto settings
        = readGatewaySettings("{" + MinimalFields + R"(,"stop_grace_ms":5000,"repeat_ratio":0.5})", problems);
    EXPECT_TRUE(problems.empty());
    EXPECT_EQ(settings.node.value(), "n1");
    EXPECT_EQ(settings.stopGrace, 5s);
    EXPECT_DOUBLE_EQ(settings.repeatRatio, 0.5);
    EXPECT_EQ(settings.leavingBound, 4s);
    EXPECT_TRUE(settings.seeds.empty());
    EXPECT_EQ(settings.allocatePlaces, place_allocation_scope::Off);
}

TEST(GatewaySettings, AllocationOfPlacesHasFourValues)
{
    std::vector<field_error> problems;
    const auto scopeOf = [&problems](const std::string& word) {
        return readGatewaySettings("{" + MinimalFields + R"(,"allocate_places":")" + word + "\"}", problems)
            .allocatePlaces;
    };
    EXPECT_EQ(scopeOf("off"), place_allocation_scope::Off);
    EXPECT_EQ(scopeOf("plain"), place_allocation_scope::Plain);
    EXPECT_EQ(scopeOf("engines"), place_allocation_scope::Engines);
    EXPECT_EQ(scopeOf("all"), place_allocation_scope::All);
    EXPECT_TRUE(problems.empty());
    scopeOf("some");
    EXPECT_EQ(problems.size(), 1U);
}

// Guards against rollouts that start without a limit for what a bad version may receive.
TEST(GatewaySettings, RolloutsNeedAllTheirLimits)
{
    std::vector<field_error> problems;
    const auto areOn = [&problems](const std::string& fields) {
        return hasRollouts(readGatewaySettings("{" + MinimalFields + fields + "}", problems));
    };
    EXPECT_FALSE(areOn(""));
    EXPECT_FALSE(areOn(R"(,"exposure_share":0,"exposure_slack":0,"rollback_ms":0)"));
    EXPECT_FALSE(areOn(R"(,"exposure_share":0.1,"exposure_slack":50)"));
    EXPECT_TRUE(areOn(R"(,"exposure_share":0.1,"exposure_slack":50,"rollback_ms":5000)"));
    EXPECT_TRUE(problems.empty());
    EXPECT_EQ(problemsOf("{" + MinimalFields + R"(,"exposure_share":1.5})").size(), 1U);
}

TEST(GatewaySettings, ReportsEveryProblem)
{
    EXPECT_EQ(problemsOf("[]").size(), 1U);
    EXPECT_EQ(problemsOf("{").size(), 1U);
    EXPECT_EQ(problemsOf("{}").size(), 6U) << "six fields are required";
    const auto unknown = problemsOf("{" + MinimalFields + R"(,"leaving_bond_ms":500})");
    ASSERT_EQ(unknown.size(), 1U);
    EXPECT_NE(unknown[0].problem.find("leaving_bound_ms"), std::string::npos);
    EXPECT_EQ(problemsOf("{" + MinimalFields + R"(,"seeds":["10.0.0.1:80","nowhere"]})").size(), 1U);
    EXPECT_EQ(problemsOf("{" + MinimalFields + R"(,"stop_grace_ms":-1})").size(), 1U);
    EXPECT_EQ(problemsOf("{" + MinimalFields + R"(,"metrics_address":"nowhere"})").size(), 1U);
}

} // namespace
