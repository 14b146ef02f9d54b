/// \file
/// Request and response over pooled HTTP connections to one platform address, shared by the adapters of the ports.
#pragma once

#include "core/error.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

namespace oriolepick {

/// One request to the platform.
struct http_request {
    std::string method;
    std::string target; ///< path and query, already percent-encoded
    std::string body;
    const char* contentType = "application/json";
};

/// The complete response to a request.
struct http_response {
    int status = 0;
    std::string body;
    std::string storeEpoch; ///< header Store-Epoch, empty when absent
};

/// Keeps idle connections to one address and sends one request at a time on each. Thread-safe.
class http_exchange {
public:
    /// \param address "http://ip:port" or "https://ip:port"
    /// \param maxResponseBytes a longer response body is an error
    http_exchange(std::string address, std::size_t maxResponseBytes);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    /// Sends one request and waits for the complete response.
    /// \param timeout limit of the connect, and of the wait for the response
    /// \return the response; PlatformUnavailable when no byte of the request was sent; PlatformUnknown when the
    ///     request may have been processed but its response was lost
    result<http_response> send(const http_request& request, std::chrono::milliseconds timeout);

private:
    struct connection;

    std::unique_ptr<connection> takeConnection();
    void keepConnection(std::unique_ptr<connection> idle);

    struct state;
    std::unique_ptr<state> m_state;
};

/// \return \p text with every byte outside the unreserved set of RFC 3986 percent-encoded
/// \param keepSlash leaves "/" as it is, for paths
std::string percentEncode(const std::string& text, bool keepSlash);

} // namespace oriolepick
