/// \file
/// Seeded trace of requests and faults for bench_resume: the same trace is played to every policy.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace oriolepick {

using bench_time = std::chrono::microseconds; ///< virtual time since the start of a run

/// Size of the fake fleet and the speed of its workers.
struct fleet_shape {
    std::uint32_t workers = 20;
    std::uint32_t zones = 4;
    std::uint32_t nodes = 8;
    std::uint32_t batch = 16;
    std::uint32_t queueLimit = 16;
    std::uint32_t manuals = 40; ///< distinct shared prompt prefixes
    std::uint32_t cachedManuals = 16; ///< prefixes that a worker's cache holds
    std::uint32_t prefillChunk = 512; ///< prompt tokens computed in one step
    double stepMilliseconds = 30; ///< decode step of a batch of one
    double perStreamMilliseconds = 0.8; ///< added to a step by each stream
    double prefillMilliseconds = 0.08; ///< one prompt token
};

struct trace_request {
    bench_time at { 0 };
    std::uint32_t node = 0;
    std::uint32_t manual = 0;
    std::uint32_t manualTokens = 0;
    std::uint32_t ownTokens = 0; ///< prompt tokens after the shared prefix
    std::uint32_t length = 0; ///< output tokens
};

enum class trace_fault_kind { Crash, SilentDeath, Pause, LostConnection };

struct trace_fault {
    bench_time at { 0 };
    trace_fault_kind kind = trace_fault_kind::Crash;
    std::uint32_t worker = 0;
    bench_time duration { 0 }; ///< until the worker is back, or the pause
};

struct resume_trace {
    std::string name;
    std::uint64_t seed = 0;
    double deathsPerMinute = 0;
    bool zoneLoss = false;
    double load = 0; ///< share of the fleet's capacity
    bench_time length { 0 };
    std::vector<trace_request> requests;
    std::vector<trace_fault> faults; ///< by time
};

/// \param load arrival rate as a share of the fleet's capacity
/// \return the trace of \p minutes minutes
resume_trace makeTrace(
    const fleet_shape& shape, std::uint64_t seed, double load, double minutes, double deathsPerMinute, bool zoneLoss);

} // namespace oriolepick
