/// \file
/// The stored state of a rollout. It is written only on condition that its row is unchanged, so two deciders cannot
/// both commit.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace oriolepick {

/// How far a rollout is. The last two are final for their order.
enum class rollout_phase : std::uint8_t {
    Observing, ///< single requests with permits go to the new version
    Shifting, ///< all new requests go to the new version
    Done,
    RolledBack,
};

constexpr bool isFinal(rollout_phase phase)
{
    return phase == rollout_phase::Done || phase == rollout_phase::RolledBack;
}

/// \return the "state" of the row status/rollout/SERVICE
constexpr const char* stateText(rollout_phase phase)
{
    return phase == rollout_phase::Done ? "done" : phase == rollout_phase::RolledBack ? "rolled_back" : "running";
}

/// Row of a service in the table of the rollouts.
struct rollout_ledger {
    std::uint64_t order = 0; ///< revision of the rollout_order
    std::string version; ///< version that the order names
    rollout_phase phase = rollout_phase::Observing;
    std::uint64_t reserved = 0; ///< number of requests to the new version allowed so far, over all nodes and deciders
    std::chrono::milliseconds startedAt { 0 }; ///< when the order was seen, on the clock of the store
    /// Random number of the decider that wrote the row. It recognizes its own write after a lost response.
    std::uint64_t writer = 0;
};

} // namespace oriolepick
