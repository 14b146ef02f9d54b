/// \file
/// Admission check: whether an engine can run one more generation without starting it late or preempting others.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace oriolepick {

struct polled_engine;

/// Resources that one generation needs.
struct generation_demand {
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< upper bound
    /// Time for the prefill of the prompt on an engine without other prefills.
    std::chrono::milliseconds prefillTime { 0 };
    std::chrono::milliseconds firstEventWithin { 0 }; ///< remaining time until the first event would be late
    /// Priority of the request at the engine, 0 is the most urgent. An engine preempts less urgent runs for it. Unset
    /// if all requests of the service are equally urgent.
    std::optional<std::uint32_t> priority {};

    /// \return the memory in tokens that the generation holds at its end
    std::uint64_t total() const { return promptTokens + outputTokens; }
};

/// \return the memory in tokens that \p engine will need for its reported requests and for those sent but not
/// reported yet. Admitted generations hold the memory of their prompts and are assumed to produce as many output
/// tokens as this one; the other requests are assumed to be as large as this one.
std::uint64_t committedTokens(const polled_engine& engine, const generation_demand& demand);

/// \return the expected time to the first event on \p engine; prefills run one after another
std::chrono::milliseconds expectedTimeToFirstEvent(const polled_engine& engine, const generation_demand& demand);

/// \return whether \p engine has memory for this generation beside a reserve. An engine that holds nothing is
/// assumed to have it, since the engine refuses a request that exceeds its total memory.
bool hasMemory(const polled_engine& engine, const generation_demand& demand);

/// \return \p engine as \p demand meets it when the engine preempts its less urgent runs: without these runs, and
/// without the queued requests, which a more urgent one overtakes. The same engine if nothing in it is less urgent.
polled_engine withoutLessUrgent(const polled_engine& engine, const generation_demand& demand);

/// \return whether \p engine has a free slot and memory, and the first event is expected in time or as soon as an
/// engine of this kind can produce it. An engine without a readable report is admitted, since it refuses what it
/// cannot run.
bool canAdmit(const polled_engine& engine, const generation_demand& demand);

} // namespace oriolepick
