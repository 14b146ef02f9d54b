/// \file
/// Processor time and memory of this process, for metrics.
#pragma once

#include <chrono>
#include <cstdint>

namespace oriolepick {

/// What the process used so far.
struct process_usage {
    std::chrono::duration<double> cpu { 0 }; ///< of all threads, user and system
    std::uint64_t residentBytes = 0;
};

process_usage processUsage();

/// \return the processor time of the calling thread
std::chrono::duration<double> threadCpu();

} // namespace oriolepick
