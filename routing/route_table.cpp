#include "routing/route_table.h"

#include "core/text.h"

#include <algorithm>

namespace oriolepick {

namespace {

    std::string normalizedHost(std::string_view host)
    {
        const auto colon = host.rfind(':');
        if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
            host = host.substr(0, colon);
        return lowerCased(host);
    }

} // namespace

route_table::route_table(routing_config config)
    : m_config(std::move(config))
{
    for (const auto& route : m_config.routes)
        m_routesOfHost[normalizedHost(route.host)].push_back(&route);
    for (auto& [host, routes] : m_routesOfHost) {
        std::stable_sort(routes.begin(), routes.end(),
            [](const route* left, const route* right) { return left->prefix.size() > right->prefix.size(); });
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesOfHost.find(normalizedHost(host));
    if (routes == m_routesOfHost.end())
        return nullptr;
    for (const auto* route : routes->second) {
        if (startsWith(path, route->prefix))
            return route;
    }
    return nullptr;
}

const team_rules* route_table::teamOf(std::string_view key) const
{
    const auto team = m_config.teamOfKey.find(std::string(key));
    return team == m_config.teamOfKey.end() ? nullptr : &m_config.teams[team->second];
}

const service_rules* route_table::rulesOf(const service_name& service) const
{
    const auto rules = m_config.services.find(service);
    return rules == m_config.services.end() ? nullptr : &rules->second;
}

const service_name& route_table::chooseService(const route& route, double draw)
{
    double total = 0;
    for (const auto& share : route.services)
        total += share.weight;
    double rest = draw * total;
    for (const auto& share : route.services) {
        rest -= share.weight;
        if (rest < 0)
            return share.service;
    }
    return route.services.back().service;
}

} // namespace oriolepick
