/// \file
/// State that engines report and orders that they take.
#pragma once

#include "core/names.h"
#include "core/order_kind.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// What an engine reports about itself.
struct engine_state {
    std::vector<model_ref> loaded; ///< models ready to run
    std::optional<model_ref> loading; ///< the load in progress
    std::string role; ///< for example "serve"
    bool draining = false;
    std::uint64_t fencing = 0; ///< highest fencing number seen
    std::uint64_t incarnation = 0; ///< changes with each start of the process; 0 when the engine does not report it
    std::uint32_t attempts = 0; ///< attempts that run, wait or can be attached to
};

/// One change of an engine's prefix cache.
struct cache_event {
    std::uint64_t sequence = 0; ///< grows by one; a gap means lost events
    bool stored = false; ///< stored or evicted
    std::uint64_t block = 0; ///< prompt block hash, see prompt_blocks.h
};

/// Cache events and where to read on.
struct cache_events {
    std::vector<cache_event> events;
    std::uint64_t last = 0; ///< sequence number up to which this report goes
};

/// An order to an engine; repeating one has no further effect.
struct engine_order {
    order_kind kind = order_kind::Load;
    model_ref model; ///< for Load and Unload
    std::string role; ///< for Role
    std::uint64_t fencing = 0; ///< fencing number of the lease under which the order is given
    std::uint64_t ticket = 0; ///< ticket that the order carries out
};

/// \return the word in the protocol, for example "load"
const char* toString(order_kind kind);

} // namespace oriolepick
