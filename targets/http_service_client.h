/// \file
/// Plain services over HTTP.
#pragma once

#include "targets/service_client.h"

#include <cstddef>

namespace oriolepick {

/// Makes each call on a connection of its own.
class http_service_client : public service_client {
public:
    static constexpr std::size_t DefaultMaxBodyBytes = std::size_t { 8 } << 20;

    /// \param maxBodyBytes a longer response body is dropped and the outcome is MayHaveRun
    explicit http_service_client(std::size_t maxBodyBytes = DefaultMaxBodyBytes)
        : m_maxBodyBytes(maxBodyBytes)
    {
    }

    service_outcome call(const std::string& address, const service_request& request, const service_timeouts& timeouts,
        call_abort& abort) override;
    bool refusesConnections(const std::string& address, std::chrono::milliseconds timeout) override;

private:
    std::size_t m_maxBodyBytes;
};

} // namespace oriolepick
