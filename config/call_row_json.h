/// \file
/// The JSON text that the table holds for one non-idempotent call:
/// {"state","claim","digest","node","at_ms"} and for an answered call {"status","type","body"} with the body in base64.
#pragma once

#include "core/call_row.h"

namespace oriolepick {

/// The only place that encodes and decodes call rows.
class call_row_json : public call_row_codec {
public:
    std::string encode(const call_row& row) const override;

    /// \return the row, or BadRequest naming the malformed or unknown field
    result<call_row> decode(std::string_view value) const override;
};

} // namespace oriolepick
