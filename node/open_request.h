/// \file
/// Counts a request as open.
#pragma once

#include "node/node_status.h"

namespace oriolepick {

/// Holds up the planned stop while it exists; owned by what still works on the request or sends its answer.
class open_request {
public:
    explicit open_request(node_status& status)
        : m_status(status)
    {
        ++m_status.openRequests;
    }
    ~open_request() { --m_status.openRequests; }
    open_request(const open_request&) = delete;
    open_request& operator=(const open_request&) = delete;

private:
    node_status& m_status;
};

} // namespace oriolepick
