/// \file
/// Messages about rollouts between nodes. All of them may be lost, delayed or duplicated.
#pragma once

#include "routing/rollout_ledger.h"
#include "routing/routing_names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace oriolepick {

constexpr std::size_t MaxRolloutRoutes = 16; ///< routes are grouped by hash
/// Group of the responses of targets that are no canaries, whichever route their requests came by.
constexpr std::size_t UnspecifiedRoute = MaxRolloutRoutes - 1;
constexpr std::size_t MaxCanaries = 12; ///< targets of the new version that receive requests with permits
constexpr std::size_t LatencyBuckets = 12; ///< the first one below 20 ms, doubling
/// Cells in one report, so that it fits into a datagram. A node with more cells sends them in turn.
constexpr std::size_t MaxRolloutCells = 64;

/// Cumulative counts of responses.
struct response_counts {
    std::uint64_t responses = 0; ///< including failures
    std::uint64_t failures = 0; ///< status 500 and the like, not broken connections
    std::array<std::uint64_t, LatencyBuckets> latencies {}; ///< time to the first event; of successful responses
};

/// Responses of one target to the requests of one group of routes. In the cell of UnspecifiedRoute and target 0, the
/// number of responses is that of the attempts begun at the new version: failures are faster than other responses, so
/// the attempts that are still running count as no failures.
struct rollout_cell {
    std::uint8_t route = 0; ///< below MaxRolloutRoutes, or UnspecifiedRoute
    std::uint64_t target = 0; ///< hash of the name of a target of the new version; 0 for the old version as a whole
    response_counts counts;
};

/// What a node has counted since it knows the order.
struct rollout_report {
    service_name service;
    std::uint64_t order = 0; ///< revision of the order
    std::uint64_t nodeStart = 0; ///< start time of the node; counts of different starts add up
    std::uint64_t sequence = 0; ///< increases with each report of one start
    std::uint64_t requests = 0; ///< that reached the service, whichever version they were sent to
    std::uint64_t oldInFlight = 0; ///< requests in flight at targets of other versions than the new one
    bool shifting = false; ///< the node knows that all new requests go to the new version
    std::vector<rollout_cell> cells; ///< at most MaxRolloutCells, each cumulative
};

/// State of a rollout, from its decider.
struct rollout_state {
    service_name service;
    std::uint64_t order = 0;
    std::uint64_t revision = 0; ///< row version of the ledger that the sender wrote; a lower one is outdated
    rollout_phase phase = rollout_phase::Observing;
    /// While observing: share of new requests that ask for a permit. While shifting: 1, or 0 after a bad verdict that
    /// is not stored yet. From 0 to 1.
    double share = 0;
};

/// Asks the decider whether one request may be sent to the new version.
struct exposure_request {
    service_name service;
    std::uint64_t order = 0;
    std::uint64_t number = 0;
};

/// Answer to exposure_request.
struct exposure_answer {
    std::uint64_t number = 0;
    bool granted = false;
};

using rollout_message = std::variant<rollout_report, rollout_state, exposure_request, exposure_answer>;

} // namespace oriolepick
