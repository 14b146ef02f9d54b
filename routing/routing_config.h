/// \file
/// One version of the routing configuration, as data.
#pragma once

#include "core/names.h"
#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace oriolepick {

/// How the requests of a route are answered and what may be repeated.
enum class route_kind {
    Repeatable, ///< a whole answer; the request may run any number of times
    RunsOnce, ///< a whole answer; the request runs at most once
    Stream, ///< a series of events
};

/// A share of a route's requests that goes to one service.
struct service_share {
    service_name service;
    std::uint32_t weight = 1; ///< relative to the other shares of the route
};

/// Requests of one host whose path begins with a prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    route_kind kind = route_kind::RunsOnce;
    bool resumable = false; ///< a stream that may go on at another target after the last event received
    bool anonymous = false; ///< needs no key
    std::chrono::milliseconds timeout { 0 }; ///< longest time to a final answer
    std::chrono::milliseconds objective { 0 }; ///< time to the answer, or to the first event
    std::chrono::milliseconds longestGap { 0 }; ///< between two events of a stream, 0 for none declared
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxTargets = 1; ///< targets that one request may be sent to
    std::vector<service_share> services; ///< never empty

    /// \return whether a request may run again after a run that did not finish
    bool mayRepeat() const { return kind == route_kind::Repeatable || (kind == route_kind::Stream && resumable); }
};

/// What a service's model engines can do.
struct engine_rules {
    std::uint32_t slots = 1; ///< requests that run at once
    std::uint32_t tokensPerEvent = 1; ///< that one event of a stream holds
    std::uint64_t memoryTokens = 0; ///< prompt and output tokens held at once
    bool supportsContinuousCopies = false; ///< a running request can be copied to another target as it grows
    bool supportsOnDemandCopies = false; ///< a running request can be copied once, when asked to
    std::chrono::milliseconds copyLifetime { 0 }; ///< how long a copy made on order is kept
};

/// Properties of one service.
struct service_rules {
    std::string healthPath;
    std::uint32_t maxConnections = 0; ///< that one target accepts from all nodes together, 0 for no limit
    std::optional<engine_rules> engine; ///< nothing for plain services
};

/// A team of callers.
struct team_rules {
    team_name name;
    std::optional<std::uint32_t> priority; ///< goes before the route's
};

/// Bounds on what a caller may send and how long it may take.
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
    std::map<service_name, service_rules> services;
    std::vector<team_rules> teams;
    std::unordered_map<std::string, std::size_t> teamOfKey; ///< index into teams
    bool teamsDeclared = false; ///< requests need a key
    caller_limits limits;
};

} // namespace oriolepick
