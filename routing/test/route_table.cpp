// Guards against requests that reach another service than the one of their route.
#include "routing/route_table.h"

#include "core/seeded_random.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

route routeOf(const std::string& name, const std::string& host, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.services = { { service_name(name), 1 } };
    return result;
}

route_table tableOf(std::vector<route> routes)
{
    routing_config config;
    config.routes = std::move(routes);
    return route_table(std::move(config));
}

TEST(RouteTable, LongestPrefixOfTheHostWins)
{
    const auto table = tableOf({ routeOf("short", "a.example", "/x/"), routeOf("long", "a.example", "/x/y/"),
        routeOf("other", "b.example", "/x/y/z/") });
    EXPECT_EQ(table.find("a.example", "/x/y/z/1")->name, "long");
    EXPECT_EQ(table.find("a.example", "/x/1")->name, "short");
    EXPECT_EQ(table.find("b.example", "/x/1"), nullptr);
    EXPECT_EQ(table.find("c.example", "/x/1"), nullptr);
}

// Guards against an index that finds another route than a comparison with each of them does.
TEST(RouteTable, FindsWhatAComparisonWithAllRoutesFinds)
{
    seeded_random random(1);
    const auto path = [&random] {
        std::string text = "/";
        for (auto parts = random.below(4); parts; --parts)
            text += std::string(1 + random.below(2), static_cast<char>('a' + random.below(2))) + "/";
        return text;
    };
    for (int round = 0; round < 200; ++round) {
        routing_config config;
        std::vector<route> all;
        for (auto count = random.below(12); count; --count)
            all.push_back(routeOf(std::to_string(all.size()), random.below(2) ? "A" : "b", path()));
        for (std::size_t index = 0; index < all.size(); ++index) {
            if (index < all.size() / 2)
                config.routes.push_back(all[index]);
            else
                config.sharedRoutes.push_back(std::make_shared<const route>(all[index]));
        }
        const route_table table(std::move(config));
        for (int request = 0; request < 20; ++request) {
            const auto asked = path() + (random.below(2) ? "x" : "");
            const route* expected = nullptr;
            for (const auto& each : all) {
                if (each.host == "A" && asked.rfind(each.prefix, 0) == 0
                    && (!expected || each.prefix.size() > expected->prefix.size()))
                    expected = &each;
            }
            const auto* found = table.find("a:80", asked);
            ASSERT_EQ(found ? found->name : "", expected ? expected->name : "") << asked;
        }
    }
}

TEST(RouteTable, HostIgnoresCaseAndPort)
{
    const auto table = tableOf({ routeOf("r", "a.Example", "/x/") });
    EXPECT_NE(table.find("A.example:8080", "/x/"), nullptr);
}

TEST(RouteTable, PrefixEndsAtASlash)
{
    const auto table = tableOf({ routeOf("r", "a", "/x/") });
    EXPECT_EQ(table.find("a", "/xy"), nullptr);
    EXPECT_EQ(table.find("a", "/x"), nullptr);
}

TEST(RouteTable, ServicesGetTheirShares)
{
    auto split = routeOf("r", "a", "/");
    split.services = { { service_name("most"), 90 }, { service_name("few"), 10 } };
    EXPECT_EQ(route_table::chooseService(split, 0.0).value(), "most");
    EXPECT_EQ(route_table::chooseService(split, 0.899).value(), "most");
    EXPECT_EQ(route_table::chooseService(split, 0.901).value(), "few");
    EXPECT_EQ(route_table::chooseService(split, 0.999'999).value(), "few");
}

// Guards against callers with a short objective that wait behind those who may wait longer.
TEST(RouteTable, StreamsOfAServiceAreRankedByTheirObjectives)
{
    auto urgent = routeOf("urgent", "a", "/u/");
    auto patient = routeOf("patient", "a", "/p/");
    auto other = routeOf("other", "a", "/o/");
    urgent.kind = patient.kind = other.kind = route_kind::Stream;
    urgent.services = patient.services = { { service_name("s"), 1 } };
    urgent.objective = std::chrono::seconds(4);
    patient.objective = std::chrono::seconds(10);
    other.objective = std::chrono::seconds(20);
    const auto table = tableOf({ patient, urgent, other });
    EXPECT_EQ(table.objectiveRank(urgent, service_name("s")), 0U);
    EXPECT_EQ(table.objectiveRank(patient, service_name("s")), 1U);
    EXPECT_TRUE(table.hasSeveralObjectives(service_name("s")));
    EXPECT_FALSE(table.hasSeveralObjectives(service_name("other")));
    EXPECT_EQ(table.objectiveRank(other, service_name("other")), 0U) << "the only one of its service";
}

TEST(RouteTable, OnlyKnownKeysNameATeam)
{
    routing_config config;
    config.teams.push_back({ team_name("red"), std::nullopt });
    config.teamOfKey["k1"] = 0;
    const route_table table(std::move(config));
    EXPECT_EQ(table.teamOf("k1")->name.value(), "red");
    EXPECT_EQ(table.teamOf("k"), nullptr);
    EXPECT_EQ(table.teamOf(""), nullptr);
}

} // namespace
