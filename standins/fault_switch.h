/// \file
/// Faults of one emulated service: slow, down, or losing responses after the effect; counted or by seeded chance.
#pragma once

#include "core/seeded_random.h"

#include <chrono>
#include <cstdint>
#include <mutex>

namespace oriolepick {

/// The faults in force for one service.
struct platform_faults {
    std::chrono::milliseconds delayBefore { 0 }; ///< wait before the operation takes effect
    std::chrono::milliseconds delayAfter { 0 }; ///< wait between the effect and the response
    bool down = false; ///< every operation is refused without effect
    std::uint64_t downRequests = 0; ///< the next operations that are refused without effect
    std::uint64_t loseResponses = 0; ///< the next operations with an effect whose responses are lost
    double loseProbability = 0; ///< chance that the response to an operation with an effect is lost
};

/// What happens to one operation.
struct fault_decision {
    std::chrono::milliseconds delayBefore { 0 };
    std::chrono::milliseconds delayAfter { 0 };
    bool refuse = false;
    bool loseResponse = false;
};

/// Decides the fate of each operation of one service. Thread-safe.
class fault_switch {
public:
    explicit fault_switch(std::uint64_t seed);

    /// Replaces the faults in force.
    void set(const platform_faults& faults);

    /// Decides about the next operation and uses up counted faults.
    /// \param losable whether the loss of its response is counted (writes, and reads of services without writes)
    fault_decision next(bool losable);

private:
    std::mutex m_mutex;
    platform_faults m_faults;
    seeded_random m_random;
};

} // namespace oriolepick
