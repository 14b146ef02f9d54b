#include "routing/route_table.h"

#include "core/text.h"

#include <algorithm>
#include <functional>

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
    for (const auto& each : m_config.routes)
        add(each);
    for (const auto& each : m_config.sharedRoutes)
        add(*each);
    for (auto& [name, host] : m_hosts) {
        std::sort(host.prefixSizes.begin(), host.prefixSizes.end(), std::greater<>());
        host.prefixSizes.erase(std::unique(host.prefixSizes.begin(), host.prefixSizes.end()), host.prefixSizes.end());
    }
}

void route_table::add(const route& route)
{
    auto& host = m_hosts[normalizedHost(route.host)];
    host.ofPrefix.emplace(route.prefix, &route);
    host.prefixSizes.push_back(route.prefix.size());
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_hosts.find(normalizedHost(host));
    if (found == m_hosts.end())
        return nullptr;
    for (const auto size : found->second.prefixSizes) {
        if (size > path.size())
            continue;
        const auto route = found->second.ofPrefix.find(path.substr(0, size));
        if (route != found->second.ofPrefix.end())
            return route->second;
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
