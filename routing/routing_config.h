/// \file
/// One version of the routing configuration, as data.
#pragma once

#include "core/names.h"
#include "core/shared_list.h"
#include "routing/routing_names.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolepick {

/// How the requests of a route are answered, and whether they may be retried.
enum class route_kind {
    Repeatable, ///< a complete response; the request may run any number of times
    RunsOnce, ///< a complete response; the request runs at most once
    Stream, ///< a series of events
};

/// A share of a route's requests that goes to one service.
struct service_share {
    service_name service;
    std::uint32_t weight = 1; ///< relative to the other shares of the route

    friend bool operator==(const service_share& left, const service_share& right)
    {
        return left.service == right.service && left.weight == right.weight;
    }
};

/// Requests of one host whose path begins with a prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< starts and ends with a slash
    route_kind kind = route_kind::RunsOnce;
    bool resumable = false; ///< a stream may resume on another target after the last received event
    bool anonymous = false; ///< no key is required
    std::chrono::milliseconds timeout { 0 }; ///< upper bound of the time to the final response
    std::chrono::milliseconds objective { 0 }; ///< time objective for the response, or for the first event of a stream
    std::chrono::milliseconds longestGap { 0 }; ///< longest time between two events of a stream, 0 if none is declared
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxTargets = 1; ///< maximum number of targets that may receive one request
    shared_list<service_share> services; ///< never empty

    /// \return whether a request may run again after an incomplete run
    bool mayRepeat() const { return kind == route_kind::Repeatable || (kind == route_kind::Stream && resumable); }

    /// \return whether requests of this route may be sent to \p service
    bool leadsTo(const service_name& service) const
    {
        return std::any_of(services.begin(), services.end(),
            [&service](const service_share& share) { return share.service == service; });
    }
};

/// Capabilities of a service's model engines.
struct engine_rules {
    std::uint32_t slots = 1; ///< number of concurrent requests
    std::uint32_t tokensPerEvent = 1; ///< number of tokens in one event of a stream
    std::uint64_t memoryTokens = 0; ///< capacity in prompt and output tokens held at once
    /// The engine can continuously copy the memory of a running request to another target.
    bool supportsContinuousCopies = false;
    bool supportsOnDemandCopies = false; ///< the engine can copy the memory of a running request once, on request
    std::chrono::milliseconds copyLifetime { 0 }; ///< lifetime of a copy made on demand
};

/// Properties of one service.
struct service_rules {
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< connections that one target accepts from all nodes together, 0 if unlimited
    std::optional<engine_rules> engine; ///< absent for services without model engines
};

/// A team of callers.
struct team_rules {
    team_name name;
    std::optional<std::uint32_t> priority; ///< overrides the route's priority
};

/// Limits for the requests of a caller and their duration.
struct caller_limits {
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint64_t maxBodyBytes = 4'194'304;
    std::chrono::milliseconds headerTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 15'000 };
};

/// A whole configuration.
struct routing_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<std::shared_ptr<const route>> sharedRoutes; ///< further routes, which other versions hold too
    std::map<service_name, service_rules> services;
    std::vector<team_rules> teams;
    std::unordered_map<std::string, std::size_t> teamOfKey; ///< index into teams
    bool teamsDeclared = false; ///< whether requests need a key
    caller_limits limits;
};

} // namespace oriolepick
