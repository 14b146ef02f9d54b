#include "targets/http_service_client.h"

#include "targets/http_exchange.h"

namespace oriolepick {

service_outcome http_service_client::call(
    const std::string& address, const service_request& request, const service_timeouts& timeouts, call_abort& abort)
{
    auto response = exchangeBuffered(address, request, timeouts, m_maxBodyBytes, m_memory, abort);
    service_outcome outcome;
    switch (response.result.end) {
    case exchange_end::Complete:
        outcome.kind = service_outcome_kind::Response;
        outcome.status = response.status;
        outcome.headers = std::move(response.headers);
        outcome.body = std::move(response.body);
        outcome.memory = std::move(response.memory);
        break;
    case exchange_end::NotSent:
        outcome.kind = service_outcome_kind::NotSent;
        break;
    default:
        outcome.kind = service_outcome_kind::MayHaveRun;
        break;
    }
    outcome.detail = std::move(response.result.detail);
    return outcome;
}

bool http_service_client::refusesConnections(const std::string& address, std::chrono::milliseconds timeout)
{
    return oriolepick::refusesConnections(address, timeout);
}

} // namespace oriolepick
