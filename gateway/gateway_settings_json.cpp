#include "gateway/gateway_settings_json.h"

namespace oriolepick {

template <> struct enum_words<place_allocation_scope> {
    static constexpr std::array<std::pair<place_allocation_scope, std::string_view>, 4> Words {
        { { place_allocation_scope::Off, "off" }, { place_allocation_scope::Plain, "plain" },
            { place_allocation_scope::Engines, "engines" }, { place_allocation_scope::All, "all" } }
    };
};

namespace {

    constexpr field_rule RequiredAddress { presence::Required, text_form::Address };
    constexpr field_rule OptionalAddress { presence::Optional, text_form::Address };

    template <typename Visitor> void describe(Visitor& visit, gateway_settings& settings)
    {
        visit("node", settings.node, RequiredName);
        visit("zone", settings.zone, RequiredName);
        visit("region", settings.region, field_rule { presence::Optional, text_form::Name });
        visit("caller_address", settings.callerAddress, RequiredAddress);
        visit("readiness_address", settings.readinessAddress, RequiredAddress);
        visit("metrics_address", settings.metricsAddress, OptionalAddress);
        visit("peer_address", settings.peerAddress, RequiredAddress);
        visit("seeds", settings.seeds, OptionalAddress);
        visit("registry_address", settings.registryAddress, RequiredAddress);
        visit("max_connections", settings.maxConnections, numberRule(16, 65'536));
        visit("stop_grace_ms", settings.stopGrace, numberRule(500, MaxTimeMs));
        visit("leaving_bound_ms", settings.leavingBound, numberRule(200, MaxTimeMs));
        visit("configuration_bound_ms", settings.configurationBound, numberRule(200, MaxTimeMs));
        visit("contact_bound_ms", settings.contactBound, numberRule(200, MaxTimeMs));
        visit("repeat_ratio", settings.repeatRatio, numberRule(0, 10));
        visit("repeat_slack", settings.repeatSlack, numberRule(0, 1e6));
        visit("repeat_window_ms", settings.repeatWindow, numberRule(1'000, MaxTimeMs));
        visit("exposure_share", settings.exposureShare, numberRule(0, 1));
        visit("exposure_slack", settings.exposureSlack, numberRule(0, 1e6));
        visit("rollback_ms", settings.rollbackBound, numberRule(0, MaxTimeMs));
        visit("allocate_places", settings.allocatePlaces, field_rule {});
        visit("link_mbps", settings.linkMbps, numberRule(1, 1'000'000));
        visit("memory_mb", settings.memoryMb, numberRule(32, 1'048'576));
        visit("log_lines_per_second", settings.logLinesPerSecond, numberRule(1, 100'000));
    }

} // namespace

gateway_settings readGatewaySettings(std::string_view text, std::vector<field_error>& problems)
{
    gateway_settings settings;
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        problems.push_back({ "", "the settings are no JSON object" });
        return settings;
    }
    const fleet_name noFleet;
    field_reader reader(document, "", noFleet, problems);
    describe(reader, settings);
    reader.finish();
    return settings;
}

} // namespace oriolepick
