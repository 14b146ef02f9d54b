#include "routing/route_table.h"

#include "core/text.h"

#include <absl/hash/hash.h>

#include <algorithm>
#include <functional>

namespace oriolepick {

namespace {

    std::string_view withoutPort(std::string_view host)
    {
        const auto colon = host.rfind(':');
        return colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos
            ? host.substr(0, colon)
            : host;
    }

} // namespace

route_table::route_key::route_key(const route* route)
    : route_key(route->host, route->prefix)
{
}

route_table::route_key::route_key(std::string_view host, std::string_view prefix)
    : host(withoutPort(host))
    , prefix(prefix)
{
}

std::size_t route_table::key_hash::operator()(const route_key& key) const
{
    return absl::HashOf(lowerCased(key.host), key.prefix);
}

bool route_table::key_equal::operator()(const route_key& left, const route_key& right) const
{
    return left.prefix == right.prefix && equalsIgnoringCase(left.host, right.host);
}

route_table::route_table(routing_config config)
    : m_config(std::move(config))
{
    m_routes.reserve(m_config.routes.size() + m_config.sharedRoutes.size());
    for (const auto& each : m_config.routes)
        add(each);
    for (const auto& each : m_config.sharedRoutes)
        add(*each);
    std::sort(m_prefixSizes.begin(), m_prefixSizes.end(), std::greater<>());
}

void route_table::add(const route& route)
{
    m_routes.insert(&route);
    if (route.kind == route_kind::Stream) {
        for (const auto& share : route.services) {
            auto& objectives = m_objectives[share.service];
            const auto place = std::lower_bound(objectives.begin(), objectives.end(), route.objective);
            if (place == objectives.end() || *place != route.objective)
                objectives.insert(place, route.objective);
        }
    }
    const auto size = route.prefix.size();
    if (std::find(m_prefixSizes.begin(), m_prefixSizes.end(), size) == m_prefixSizes.end())
        m_prefixSizes.push_back(size);
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    for (const auto size : m_prefixSizes) {
        if (size > path.size())
            continue;
        const auto found = m_routes.find(route_key(host, path.substr(0, size)));
        if (found != m_routes.end())
            return *found;
    }
    return nullptr;
}

bool route_table::hasSeveralObjectives(const service_name& service) const
{
    const auto found = m_objectives.find(service);
    return found != m_objectives.end() && found->second.size() > 1;
}

std::uint32_t route_table::objectiveRank(const route& route, const service_name& service) const
{
    const auto found = m_objectives.find(service);
    if (found == m_objectives.end())
        return 0;
    const auto& objectives = found->second;
    const auto place = std::lower_bound(objectives.begin(), objectives.end(), route.objective);
    return static_cast<std::uint32_t>(place - objectives.begin());
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
