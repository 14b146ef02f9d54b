/// \file
/// Rows of one table that one node hands to another.
#pragma once

#include "gateway/row_source.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace oriolepick {

/// All rows, or those that changed since the revision that was asked for.
struct news_batch {
    std::uint64_t changeRevision = 0; ///< of the store, at the last change that says anything new
    std::uint64_t readRevision = 0; ///< of the store, up to which nothing else has changed
    std::chrono::milliseconds age { 0 }; ///< since the store was at readRevision
    bool whole = false; ///< rows that are not listed do not exist
    std::vector<stored_row> rows;
};

} // namespace oriolepick
