/// \file
/// Counts of a transport between nodes, for metrics.
#pragma once

#include <atomic>
#include <cstdint>

namespace oriolepick {

struct transport_counters {
    std::atomic<std::uint64_t> sentMessages { 0 };
    std::atomic<std::uint64_t> sentBytes { 0 };
    std::atomic<std::uint64_t> receivedMessages { 0 };
    std::atomic<std::uint64_t> receivedBytes { 0 };
    std::atomic<std::uint64_t> malformedMessages { 0 };
    std::atomic<std::uint64_t> droppedMessages { 0 }; ///< the peer's queue was full
};

} // namespace oriolepick
