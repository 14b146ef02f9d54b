/// \file
/// Whether an engine can take one more generation without making it late or putting others back.
#pragma once

#include <chrono>
#include <cstdint>

namespace oriolepick {

struct polled_engine;

/// What one generation asks of an engine.
struct generation_demand {
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< at most
    std::chrono::milliseconds prefillTime { 0 }; ///< time to read its prompt when nothing else is read
    std::chrono::milliseconds firstEventWithin { 0 }; ///< time that is left until its first event is late

    /// \return the memory at its end
    std::uint64_t total() const { return promptTokens + outputTokens; }
};

/// \return the memory that \p engine will need for what it has and for what was sent there and is not reported yet.
/// Admitted generations have the memory of their prompts and may make as many events as this one; others are as large
/// as this one.
std::uint64_t committedTokens(const polled_engine& engine, const generation_demand& demand);

/// \return the expected time to the first event at \p engine: prompts are read one after another
std::chrono::milliseconds expectedTimeToFirstEvent(const polled_engine& engine, const generation_demand& demand);

/// \return whether \p engine has memory for this generation beside a reserve; an engine that holds nothing has, since
/// it refuses what is larger than all of its memory
bool hasMemory(const polled_engine& engine, const generation_demand& demand);

/// \return whether \p engine has a place and memory, and the first event comes in time or as soon as an engine of its
/// kind can make it. An engine whose report could not be read has room: it refuses what it cannot take.
bool canAdmit(const polled_engine& engine, const generation_demand& demand);

} // namespace oriolepick
