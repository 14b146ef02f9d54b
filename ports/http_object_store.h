/// \file
/// The object store over HTTP.
#pragma once

#include "ports/http_exchange.h"
#include "ports/object_store.h"

namespace oriolepick {

/// Adapter of object_store for the platform's HTTP protocol.
class http_object_store : public object_store {
public:
    /// \param address "http://ip:port"
    explicit http_object_store(std::string address);

    result<void> put(const std::string& name, const std::string& bytes, std::chrono::milliseconds timeout) override;
    result<std::optional<std::string>> get(const std::string& name, std::chrono::milliseconds timeout) const override;
    result<void> remove(const std::string& name, std::chrono::milliseconds timeout) override;

private:
    mutable http_exchange m_exchange;
};

} // namespace oriolepick
