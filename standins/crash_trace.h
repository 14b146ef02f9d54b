/// \file
/// A seeded trace of requests on targets, some of which crash every target that runs them, under one crash ledger.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace oriolepick {

/// Size and faults of the trace.
struct crash_trace_settings {
    std::size_t targets = 32; ///< targets of one model that a node uses
    std::size_t batch = 16; ///< requests in flight on each
    std::chrono::seconds duration { 3600 };
    double poisonShare = 0.0005; ///< share of new requests that crash their target
    double crashesPerTargetHour = 0.05; ///< other crashes; 160 failures a day of 12,000 instances are 0.0006
};

/// What the trace showed.
struct crash_trace_figures {
    std::size_t requests = 0;
    std::size_t crashes = 0;
    std::size_t poisons = 0; ///< crashing requests that were dispatched at all
    std::size_t poisonsQuarantined = 0;
    std::size_t maxTargetsPerPoison = 0;
    double meanTargetsPerPoison = 0;
    std::size_t neighbours = 0; ///< other requests in flight at a crash
    std::size_t isolatedNeighbours = 0;
    std::size_t quarantinedNeighbours = 0; ///< wrongly rejected
    std::size_t unplaced = 0; ///< resumes for which every target was excluded
    std::size_t fingerprints = 0; ///< records at the end
};

/// Runs the trace in steps of one second.
crash_trace_figures runCrashTrace(const crash_trace_settings& settings, std::uint64_t seed);

} // namespace oriolepick
