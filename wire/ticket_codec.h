/// \file
/// Batches of tickets between core's struct and protobuf.
#pragma once

#include "core/ticket_distributor.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class ticket_batch;
}

/// Writes \p batch into \p out.
void encode(const ticket_batch& batch, wire::ticket_batch& out);

/// \return the batch, or nothing when it is too long or numbers do not fit together
std::optional<ticket_batch> decode(const wire::ticket_batch& in);

} // namespace oriolepick
