/// \file
/// Settings of a gateway process.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

/// Read once at start; see docs/settings-gateway.md.
struct gateway_settings {
    node_id node; ///< name in log lines
    availability_zone zone;
    region_name region { "local" };
    std::string callerAddress; ///< "IP:PORT" where callers connect
    std::string readinessAddress; ///< "IP:PORT" of the readiness probe
    std::string metricsAddress; ///< "IP:PORT" of the metrics page, empty for none
    std::string peerAddress; ///< "IP:PORT" where other nodes ask this one, and where their datagrams arrive
    std::vector<std::string> seeds; ///< "IP:PORT" of some nodes; only the IP counts, ports are the same on all nodes
    std::string registryAddress; ///< "IP:PORT" of the platform's store
    int maxConnections = 1'024; ///< of callers and targets together
    std::chrono::milliseconds stopGrace { 8'000 }; ///< from the stop signal to the forced end
    std::chrono::milliseconds leavingBound { 4'000 }; ///< how late it may be known that a target leaves
    std::chrono::milliseconds configurationBound { 4'000 }; ///< how late a configuration may be in force
    double repeatRatio = 0.8; ///< repeats to requests, over all nodes
    double repeatSlack = 150; ///< repeats over all nodes that need no requests
    std::chrono::milliseconds repeatWindow { 10'000 };
    double linkMbps = 1'000; ///< of this instance
    int memoryMb = 256; ///< of this process; exceeding it ends the process
    int logLinesPerSecond = 200; ///< lines beyond are counted and dropped
};

} // namespace oriolepick
