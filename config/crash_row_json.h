/// \file
/// The JSON text that the table holds for one suspected request:
/// {"marks":[{"crash","target","at_ms"}],"cleared_ms","holder","until_ms"}.
#pragma once

#include "core/crash_row.h"

namespace oriolepick {

/// The only place that encodes and decodes crash rows.
class crash_row_json : public crash_row_codec {
public:
    std::string encode(const crash_row& row) const override;

    /// \return the row, or BadRequest naming the malformed or unknown field
    result<crash_row> decode(std::string_view value) const override;
};

} // namespace oriolepick
