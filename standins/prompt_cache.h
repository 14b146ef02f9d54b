/// \file
/// Prompt-prefix cache of an emulated engine with its event log.
#pragma once

#include "core/instant.h"
#include "core/seeded_random.h"
#include "targets/engine_state.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <vector>

namespace oriolepick {

/// Settings of a cache's event log.
struct cache_log_settings {
    std::chrono::milliseconds delay { 0 }; ///< an event is reported only after this time
    std::uint32_t lossPercent = 0; ///< share of events that are never reported; their numbers are used up
    std::uint64_t seed = 1;
};

/// Least recently used cache of prompt blocks. Not thread-safe.
class prompt_cache {
public:
    /// \param capacity blocks that fit
    prompt_cache(std::size_t capacity, cache_log_settings settings);

    /// Marks the leading cached blocks as used.
    /// \return how many of \p blocks, from the first, are cached
    std::size_t use(const std::vector<std::uint64_t>& blocks);

    /// Stores blocks and evicts the least recently used ones beyond the capacity.
    void store(const std::vector<std::uint64_t>& blocks, instant now);

    /// \return the events after \p after that may be reported at \p now
    cache_events eventsAfter(std::uint64_t after, instant now) const;

    std::size_t size() const { return m_entries.size(); }

private:
    struct logged_event {
        cache_event event;
        instant at;
    };

    void log(bool stored, std::uint64_t block, instant now);

    const std::size_t m_capacity;
    const cache_log_settings m_settings;
    seeded_random m_random;
    std::list<std::uint64_t> m_order; ///< most recently used first
    absl::flat_hash_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_entries;
    std::deque<logged_event> m_log;
    std::uint64_t m_sequence = 0;
};

} // namespace oriolepick
