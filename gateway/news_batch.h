/// \file
/// Rows of one table that a node sends to another node.
#pragma once

#include "gateway/row_source.h"
#include "routing/content_revision.h"
#include "routing/target_departure.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolepick {

/// All rows, or the rows that changed after the requested revision.
struct news_batch {
    content_revision changeRevision; ///< at the last change that is an update
    store_version readRevision; ///< up to which there are no other updates
    std::chrono::milliseconds age { 0 }; ///< time since the store was at readRevision
    /// Time since the store was first read after its last outage, as long as expired registrations may return.
    std::optional<std::chrono::milliseconds> sinceRecovery;
    bool whole = false; ///< the batch contains all rows; rows that are not listed do not exist
    std::vector<stored_row> rows;
    /// Known to the sender, if the rows are registrations. They go before the rows: of a target that was removed and
    /// whose late renewal followed, there is one row only.
    std::vector<target_departure> departures {};
};

} // namespace oriolepick
