#include "bench/config_documents.h"

#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using json = nlohmann::ordered_json;

    constexpr std::size_t RoutesPerService = 10;
    constexpr std::size_t RoutesPerTeam = 10;

    std::string routeText(std::size_t number, std::uint64_t timeoutMs)
    {
        const auto name = std::to_string(number);
        return json {
            { "name", "route-" + name }, { "host", "host-" + std::to_string(number % 7) + ".example" },
            { "pathPrefix", "/path-" + name + "/" }, { "routeKind", "streaming" }, { "timeoutMs", timeoutMs },
            { "goalMs", 4'500 }, { "priority", 1 },
            { "service", "service-" + std::to_string(number / RoutesPerService) }, { "maxAttempts", 3 },
            { "public", false }, { "resumable", true }, { "gapGoalMs", 700 }
        }.dump();
    }

    std::string joined(const std::vector<std::string>& elements)
    {
        std::string text = "[";
        for (const auto& element : elements) {
            text += text.size() > 1 ? "," : "";
            text += element;
        }
        return text + "]";
    }

} // namespace

config_documents::config_documents(std::size_t routes)
{
    constexpr std::uint64_t TimeoutMs = 25'000;
    for (std::size_t number = 0; number < routes; ++number) {
        m_routes.push_back(routeText(number, TimeoutMs));
        m_timeoutsMs.push_back(TimeoutMs);
    }
    for (std::size_t number = 0; number * RoutesPerService < routes; ++number)
        m_services.push_back(json { { "name", "service-" + std::to_string(number) }, { "healthPath", "/healthz" },
            { "maxConns", 96 }, { "engine", { { "slots", 64 }, { "kvCapacity", 88'000 }, { "backups", true } } } }
                                 .dump());
    for (std::size_t number = 0; number * RoutesPerTeam < routes; ++number) {
        const auto name = std::to_string(number);
        m_teams.push_back(json { { "name", "team-" + name }, { "apiKeys", { "key-a-" + name, "key-b-" + name } },
            { "priority",
                1 } }.dump());
    }
}

void config_documents::changeRoute(std::size_t position)
{
    const auto number = position % m_routes.size();
    m_routes[number] = routeText(number, ++m_timeoutsMs[number]);
}

std::string config_documents::text(std::uint64_t version) const
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":" + joined(m_routes)
        + ",\"services\":" + joined(m_services) + ",\"tenants\":" + joined(m_teams)
        + R"(,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304}})";
}

} // namespace oriolepick
