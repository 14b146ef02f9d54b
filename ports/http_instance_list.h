/// \file
/// The instance list over HTTP.
#pragma once

#include "ports/http_exchange.h"
#include "ports/instance_list.h"

namespace oriolepick {

/// Adapter of instance_list for the platform's HTTP protocol.
class http_instance_list : public instance_list {
public:
    /// \param address "http://ip:port"
    explicit http_instance_list(std::string address);

    result<std::vector<instance_record>> instances(std::chrono::milliseconds timeout) const override;

private:
    mutable http_exchange m_exchange;
};

} // namespace oriolepick
