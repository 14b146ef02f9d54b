// Guards the operators' status: members, leases, targets or crash counts that are missing or belong to another object.
#include "config/settings.h"
#include "config/ticket_json.h"
#include "core/fleet_state.h"
#include "node/control_view.h"
#include "node/crash_guard.h"
#include "node/node_status.h"
#include "node/operator_endpoint.h"
#include "node/state_keeper.h"
#include "node/target_directory.h"
#include "node/trace_store.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace oriolepick;

TEST(operator_status, reports_members_leases_targets_and_crash_counts)
{
    const fleet_name fleet("atelier");
    ticket first { 1, "op", "", {} };
    const auto addTarget = [&](const char* name, const char* address, const char* zone, target_kind kind) {
        target_settings settings;
        settings.address = address;
        settings.zone = availability_zone(zone);
        settings.kind = kind;
        first.objects.push_back({ { object_kind::Target, fleet, name }, settings });
    };
    addTarget("engine", "127.0.0.1:1", "zone-b", target_kind::Engine);
    addTarget("booking", "127.0.0.1:2", "zone-a", target_kind::Service);
    settings configuration;
    configuration.nodeName = "node-1";
    configuration.peersListen = "127.0.0.1:9";
    state_keeper states;
    target_directory targets(
        node_id("127.0.0.1:9"), availability_zone("zone-a"), region_name("r"), makePlacementStrategy("cost_based"), 1);
    states.addListener([&](const auto& state) { targets.applyState(state); });
    ASSERT_TRUE(states.apply({ 0, "", 1, { encodeTicket(first) }, 1 }));
    trace_store traces(1);
    node_status status;
    control_view control;
    const operator_endpoint operators(configuration,
        { states, targets, traces, control,
            [] {
                return crash_counts { 2, 1 };
            } },
        status, [] {});
    EXPECT_TRUE(nlohmann::json::parse(operators.status())["members"].empty());

    control.publish(
        { { { node_id("127.0.0.1:8"), availability_zone("zone-c"), region_name("r"), member_state::Dead, 1 } },
            { "atelier/manuals/zone-b" } });
    const auto shown = nlohmann::json::parse(operators.status());
    EXPECT_EQ(shown["peer"], "127.0.0.1:9");
    EXPECT_EQ(shown["members"],
        nlohmann::json::parse(R"([{"node":"127.0.0.1:8","availability_zone":"zone-c","region":"r","state":"dead"}])"));
    EXPECT_EQ(shown["leases"], nlohmann::json::parse(R"(["atelier/manuals/zone-b"])"));
    EXPECT_EQ(shown["requests"], nlohmann::json::parse(R"({"suspected":2,"quarantined":1})"));
    ASSERT_EQ(shown["target_list"].size(), 2u);
    EXPECT_EQ(shown["target_list"][0]["target"], "atelier/booking");
    EXPECT_FALSE(shown["target_list"][0].contains("reporting"));
    EXPECT_EQ(shown["target_list"][1]["zone"], "zone-b");
    EXPECT_EQ(shown["target_list"][1]["reporting"], false);
}
