/// \file
/// Settings of a gateway process.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace oriolepick {

/// Read once at start; see docs/settings-gateway.md.
struct gateway_settings {
    node_id node; ///< name in log lines
    availability_zone zone;
    std::string callerAddress; ///< "IP:PORT" where callers connect
    std::string readinessAddress; ///< "IP:PORT" of the readiness probe
    std::string metricsAddress; ///< "IP:PORT" of the metrics page, empty for none
    std::string peerAddress; ///< "IP:PORT" where other nodes ask this one
    std::string registryAddress; ///< "IP:PORT" of the platform's store
    int maxConnections = 1'024; ///< of callers and targets together
    std::chrono::milliseconds stopGrace { 8'000 }; ///< from the stop signal to the forced end
    std::chrono::milliseconds registryPoll { 800 }; ///< between two readings of target registrations in the store
    std::chrono::milliseconds relayPoll { 400 }; ///< between two readings through another node
    double repeatRatio = 0.8; ///< repeats to requests, over all nodes
    double repeatSlack = 150; ///< repeats over all nodes that need no requests
    std::chrono::milliseconds repeatWindow { 10'000 };
    int logLinesPerSecond = 200; ///< lines beyond are counted and dropped
};

} // namespace oriolepick
