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

    constexpr double LargestFigure = 1e12; ///< above all that a process can use; larger ones are in a wrong unit
    constexpr std::chrono::hours LongestTime { 24 };
    /// A node that reads the store more often than this bound requires would spend its processor time on that.
    constexpr std::chrono::milliseconds ShortestNewsBound { 200 };
    constexpr std::chrono::milliseconds ShortestRepeatWindow { 1'000 };
    constexpr double LargestRepeatRatio = 10;
    constexpr double LargestSlack = 1e6;
    constexpr double LargestLinkMbps = 1'000'000;
    constexpr int LargestMemoryMb = 1'048'576;

    /// A figure that limits what this node does: rounded down, the limit is kept.
    constexpr field_rule limitRule(double least)
    {
        return numberRule(least, LargestFigure, fraction_rule::RoundedDown);
    }

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
        visit("max_connections", settings.maxConnections, numberRule(16, 65'536, fraction_rule::RoundedDown));
        visit("stop_grace_ms", settings.stopGrace, limitRule(0));
        visit("leaving_bound_ms", settings.leavingBound, limitRule(0));
        visit("configuration_bound_ms", settings.configurationBound, limitRule(0));
        visit("contact_bound_ms", settings.contactBound, limitRule(0));
        visit("repeat_ratio", settings.repeatRatio, limitRule(0));
        visit("repeat_slack", settings.repeatSlack, limitRule(0));
        // The repeats that are allowed without requests are spread over this window.
        visit("repeat_window_ms", settings.repeatWindow, numberRule(0, LargestFigure, fraction_rule::RoundedUp));
        visit("exposure_share", settings.exposureShare, numberRule(0, 1));
        visit("exposure_slack", settings.exposureSlack, limitRule(0));
        visit("rollback_ms", settings.rollbackBound, limitRule(0));
        visit("allocate_places", settings.allocatePlaces, field_rule {});
        visit("link_mbps", settings.linkMbps, limitRule(0.001));
        visit("memory_mb", settings.memoryMb, numberRule(1, 1e9, fraction_rule::RoundedDown));
        visit("log_lines_per_second", settings.logLinesPerSecond, numberRule(1, 100'000, fraction_rule::RoundedDown));
    }

    /// Replaces figures that are valid, but beyond what this node uses, by the nearest ones that it does use.
    void restrictToUsableFigures(gateway_settings& settings)
    {
        for (auto* time : { &settings.stopGrace, &settings.rollbackBound })
            *time = std::min<std::chrono::milliseconds>(*time, LongestTime);
        for (auto* bound : { &settings.leavingBound, &settings.configurationBound, &settings.contactBound })
            *bound = std::clamp<std::chrono::milliseconds>(*bound, ShortestNewsBound, LongestTime);
        settings.repeatWindow = std::max(settings.repeatWindow, ShortestRepeatWindow);
        settings.repeatRatio = std::min(settings.repeatRatio, LargestRepeatRatio);
        for (auto* slack : { &settings.repeatSlack, &settings.exposureSlack })
            *slack = std::min(*slack, LargestSlack);
        settings.memoryMb = std::min(settings.memoryMb, LargestMemoryMb);
        settings.linkMbps = std::min(settings.linkMbps, LargestLinkMbps);
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
    restrictToUsableFigures(settings);
    return settings;
}

} // namespace oriolepick
