/// \file
/// Plain services whose request limits are kept.
#pragma once

#include "targets/service_client.h"

namespace oriolepick {

class target_limits;

/// Takes a permit for each call. A call without a permit is not sent, and its outcome is NotSent with \c limited.
class limited_service_client final : public service_client {
public:
    /// Both references outlive this object.
    limited_service_client(service_client& services, target_limits& limits);

    service_outcome call(const std::string& address, const service_request& request, const service_timeouts& timeouts,
        call_abort& abort) override;
    bool refusesConnections(const std::string& address, std::chrono::milliseconds timeout) override;

private:
    service_client& m_services;
    target_limits& m_limits;
};

} // namespace oriolepick
