/// \file
/// Table row of a suspected request: its crash marks and the permit to run it.
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
    wall_time clearedAt; ///< when the request last completed
    std::string holder; ///< holder of the permit: node, incarnation and counter; empty if there is none
    wall_time heldUntil; ///< expiry of the permit; the holder ends its attempt before
};

/// Encodes and decodes the values of crash rows.
class crash_row_codec {
public:
    virtual ~crash_row_codec() = default;

    virtual std::string encode(const crash_row& row) const = 0;

    /// \return the row, or an error naming the malformed field
    virtual result<crash_row> decode(std::string_view value) const = 0;
};

/// \return the table key of the row for the request
std::string crashRowKey(request_fingerprint fingerprint);

} // namespace oriolepick
