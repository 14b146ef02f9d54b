/// \file
/// The table service over HTTP.
#pragma once

#include "ports/http_exchange.h"
#include "ports/table_service.h"

#include <atomic>

namespace oriolepick {

/// Adapter of table_service for the platform's HTTP protocol. A response 503 means that the table did not take the
/// operation; the header Store-Epoch of a response is the epoch of its versions; every other unexpected response to a
/// commit counts as lost.
class http_table_service : public table_service {
public:
    /// \param address "http://ip:port"
    explicit http_table_service(std::string address);

    result<table_outcome> commit(const table_transaction& transaction, std::chrono::milliseconds timeout) override;
    result<std::optional<table_row>> read(const std::string& key, std::chrono::milliseconds timeout) const override;
    result<std::vector<table_row>> scan(const std::string& prefix, const std::string& after, std::size_t limit,
        std::chrono::milliseconds timeout) const override;

    store_epoch epoch() const override { return m_epoch; }

private:
    /// Sends a request and notes the epoch of its response.
    result<http_response> send(const http_request& request, std::chrono::milliseconds timeout) const;

    mutable http_exchange m_exchange;
    mutable std::atomic<store_epoch> m_epoch { 0 };
};

} // namespace oriolepick
