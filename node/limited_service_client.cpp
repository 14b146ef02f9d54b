#include "node/limited_service_client.h"

#include "node/target_limits.h"

namespace oriolepick {

limited_service_client::limited_service_client(service_client& services, target_limits& limits)
    : m_services(services)
    , m_limits(limits)
{
}

service_outcome limited_service_client::call(
    const std::string& address, const service_request& request, const service_timeouts& timeouts, call_abort& abort)
{
    if (!m_limits.acquire(address)) {
        service_outcome denied;
        denied.limited = true;
        denied.detail = "the request limit of " + address + " is used up";
        return denied;
    }
    auto outcome = m_services.call(address, request, timeouts, abort);
    if (outcome.kind == service_outcome_kind::Response)
        m_limits.recordResponse(address, outcome.headers);
    return outcome;
}

bool limited_service_client::refusesConnections(const std::string& address, std::chrono::milliseconds timeout)
{
    return m_services.refusesConnections(address, timeout); // a connection is not a request
}

} // namespace oriolepick
