/// \file
/// Messages by which nodes share their retry budgets.
#pragma once

#include "routing/routing_names.h"

#include <cstdint>
#include <variant>

namespace oriolepick {

/// Asks another node for retries that it does not need.
struct retry_share_request {
    std::uint64_t number = 0; ///< identifies the request at its sender
    service_name service;
    std::uint32_t wanted = 0; ///< most retries that the sender can use
};

/// Transfers retries to the sender of a request; the budget of the answering node is already reduced by them.
struct retry_share_answer {
    std::uint64_t number = 0; ///< of the request
    std::uint32_t granted = 0;
};

using retry_share_message = std::variant<retry_share_request, retry_share_answer>;

} // namespace oriolepick
