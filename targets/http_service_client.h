/// \file
/// Plain services over HTTP.
#pragma once

#include "targets/service_client.h"

#include <cstddef>

namespace oriolepick {

class memory_budget;

/// Makes each call on a connection of its own.
class http_service_client : public service_client {
public:
    static constexpr std::size_t DefaultMaxBodyBytes = std::size_t { 8 } << 20;

    /// \param memory limits the response bodies of all calls together; outlives this object and all outcomes
    /// \param maxBodyBytes a longer response body is dropped and the outcome is MayHaveRun
    explicit http_service_client(memory_budget& memory, std::size_t maxBodyBytes = DefaultMaxBodyBytes)
        : m_memory(memory)
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

    service_outcome call(const std::string& address, const service_request& request, const service_timeouts& timeouts,
        call_abort& abort) override;
    bool refusesConnections(const std::string& address, std::chrono::milliseconds timeout) override;

private:
    memory_budget& m_memory;
    std::size_t m_maxBodyBytes;
};

} // namespace oriolepick
