/// \file
/// Settings of a gateway process.
#pragma once

#include "core/names.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

/// Services whose requests ask an allocator for a place at a target, see place_allocation.
enum class place_allocation_scope {
    Off, ///< none: every node chooses targets by itself
    Plain, ///< services without engines
    Engines, ///< services with engines
    All,
};

/// Settings that are read once at start; see docs/settings-gateway.md.
struct gateway_settings {
    node_id node; ///< name in log lines
    availability_zone zone;
    region_name region { "local" };
    std::string callerAddress; ///< "IP:PORT" where callers connect
    std::string readinessAddress; ///< "IP:PORT" of the readiness probe
    std::string metricsAddress; ///< "IP:PORT" of the metrics page, empty for none
    std::string peerAddress; ///< "IP:PORT" where this node receives HTTP requests and datagrams of other nodes
    /// "IP:PORT" of some nodes; only the IP is used, since all nodes have the same ports.
    std::vector<std::string> seeds;
    std::string registryAddress; ///< "IP:PORT" of the platform's store
    int maxConnections = 1'024; ///< limit for callers and targets together
    std::chrono::milliseconds stopGrace { 8'000 }; ///< from the stop signal to the forced exit
    std::chrono::milliseconds leavingBound { 4'000 }; ///< maximal delay until this node learns that a target is leaving
    std::chrono::milliseconds configurationBound { 4'000 }; ///< maximal delay until a configuration is in force
    /// Maximal delay until this node is up to date after a fault of its own, or after an outage of the store.
    std::chrono::milliseconds contactBound { 3'000 };
    double repeatRatio = 0.8; ///< retries per request, over all nodes
    double repeatSlack = 150; ///< retries over all nodes that are allowed without requests
    std::chrono::milliseconds repeatWindow { 10'000 }; ///< over which requests and retries are counted
    /// Greatest share of the requests of a service that a version in a rollout may receive until it is trusted, over
    /// all nodes; 0 switches rollouts off.
    double exposureShare = 0;
    double exposureSlack = 0; ///< requests that such a version may receive in addition to the share
    /// From the 50th bad response of a version to the last request that it receives.
    std::chrono::milliseconds rollbackBound { 0 };
    place_allocation_scope allocatePlaces = place_allocation_scope::Off;
    double linkMbps = 1'000; ///< capacity of this instance's network link
    int memoryMb = 256; ///< limit of this process, which is killed when it exceeds the limit
    int logLinesPerSecond = 200; ///< further lines are dropped and counted
};

/// \return whether this node takes part in rollouts of versions. Without all three settings nothing limits what a bad
/// version may receive, so none is rolled out.
inline bool hasRollouts(const gateway_settings& settings)
{
    return settings.exposureShare > 0 && settings.exposureSlack > 0 && settings.rollbackBound.count() > 0;
}

/// \return the longest time until a change of the store, or its return, is known here: the least of the bounds that the
/// settings name
inline std::chrono::milliseconds newsBound(const gateway_settings& settings)
{
    return std::min({ settings.leavingBound, settings.configurationBound, settings.contactBound });
}

} // namespace oriolepick
