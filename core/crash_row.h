/// \file
/// The table row of one suspected request: its crashes and the permit to run it.
#pragma once

#include "core/crash_ledger.h"
#include "core/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// The value of the row `crash/<fingerprint>`.
struct crash_row {
    std::vector<crash_mark> marks;
    wall_time clearedAt; ///< the request ran to its end then
    std::string holder; ///< who may run the request now: node, incarnation and counter; empty for nobody
    wall_time heldUntil; ///< the holder ends its attempt before this time
};

/// Turns rows into table values and back.
class crash_row_codec {
public:
    virtual ~crash_row_codec() = default;

    virtual std::string encode(const crash_row& row) const = 0;

    /// \return the row, or an error naming the malformed field
    virtual result<crash_row> decode(std::string_view value) const = 0;
};

/// \return the table key of the request
std::string crashRowKey(request_fingerprint fingerprint);

} // namespace oriolepick
