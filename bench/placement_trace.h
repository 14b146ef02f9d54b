/// \file
/// Seeded request traces of the two deployments.
#pragma once

#include "core/load_view.h"
#include "core/request_priority.h"
#include "core/seeded_random.h"

#include <chrono>
#include <string>
#include <vector>

namespace oriolepick {

/// A deployment of section 1.1 of the design page.
struct trace_profile {
    std::string name;
    int zones = 4;
    int nodes = 8;
    int engines = 20;
    int services = 4;
    double latencyWeight = 1; ///< fleet weight
    int documents = 60; ///< shared manuals or templates
    std::uint32_t documentMin = 2'000, documentMax = 6'000; ///< tokens
    std::uint32_t ownMin = 150, ownMax = 500; ///< tokens of the ticket or question
    std::uint32_t outputMin = 100, outputMax = 500;
    double urgentShare = 0.1, bulkShare = 0.1;
    double longShare = 0.04; ///< of the requests with outputs of minutes
};

/// \return the instrument and handset repairs: long shared manuals, latency first
trace_profile atelierProfile();

/// \return the mail order desk: bulk summaries from templates and urgent stock checks, extra use first
trace_profile refillProfile();

/// A request of a caller.
struct traced_request {
    std::chrono::nanoseconds at { 0 };
    int team = 0;
    request_priority priority = request_priority::Normal;
    bool service = false; ///< a call to a plain service
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 1;
    std::vector<block_hash> blocks;
};

/// A period of constant load.
struct load_phase {
    std::chrono::seconds length { 0 };
    double requestsPerSecond = 0;
};

/// Number of teams; three of them are large.
inline constexpr int TraceTeams = 10;

/// Latest useful dispatch after arrival, by priority.
std::chrono::milliseconds deadlineOf(request_priority priority);

/// \return requests with exponential gaps, in order of time
std::vector<traced_request> makeTrace(
    const trace_profile& profile, const std::vector<load_phase>& phases, std::uint64_t seed);

} // namespace oriolepick
