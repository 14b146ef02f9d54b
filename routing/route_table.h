/// \file
/// Looks up the route and the team of a request in one version of the configuration.
#pragma once

#include "routing/routing_config.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace oriolepick {

/// An immutable, indexed configuration.
class route_table {
public:
    /// \param config of several routes with the same host and prefix, the first one counts
    explicit route_table(routing_config config);
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    route_table(route_table&&) = default;

    /// \return whether the streams of \p service have different time objectives
    bool hasSeveralObjectives(const service_name& service) const;

    /// \return the rank of \p route among the routes to \p service by their time objectives, 0 for the shortest; 0 if
    /// all have the same
    std::uint32_t objectiveRank(const route& route, const service_name& service) const;

    /// \param host value of the request's host field; port and letter case are ignored
    /// \param path request target without its query
    /// \return the route with the longest matching prefix, or null. The cost depends on the number of different lengths
    /// of prefixes in the configuration, not on that of routes
    const route* find(std::string_view host, std::string_view path) const;

    /// \return the team that owns \p key, or null
    const team_rules* teamOf(std::string_view key) const;

    /// \return the rules of \p service, or null when the configuration does not declare it
    const service_rules* rulesOf(const service_name& service) const;

    /// \param draw a number in [0, 1)
    /// \return the service for one request of \p route, by weight
    static const service_name& chooseService(const route& route, double draw);

    const routing_config& config() const { return m_config; }

private:
    struct route_key {
        explicit route_key(const route* route);
        route_key(std::string_view host, std::string_view prefix);

        std::string_view host; // without a port, in any letter case
        std::string_view prefix;
    };
    struct key_hash {
        using is_transparent = void;
        std::size_t operator()(const route_key& key) const;
        std::size_t operator()(const route* route) const { return operator()(route_key(route)); }
    };
    struct key_equal {
        using is_transparent = void;
        bool operator()(const route_key& left, const route_key& right) const;
        bool operator()(const route* left, const route* right) const
        {
            return operator()(route_key(left), route_key(right));
        }
        bool operator()(const route* left, const route_key& right) const { return operator()(route_key(left), right); }
        bool operator()(const route_key& left, const route* right) const { return operator()(left, route_key(right)); }
    };

    void add(const route& route);

    routing_config m_config;
    absl::flat_hash_set<const route*, key_hash, key_equal> m_routes;
    std::map<service_name, std::vector<std::chrono::milliseconds>> m_objectives; // distinct ones of streams, ascending
    std::vector<std::size_t> m_prefixSizes; // longest first
};

} // namespace oriolepick
