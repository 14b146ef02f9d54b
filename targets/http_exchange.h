/// \file
/// One HTTP request and its response on a connection of its own: the part that the HTTP adapters share.
#pragma once

#include "targets/service_client.h"

#include <functional>
#include <string>
#include <string_view>

namespace oriolepick {

class memory_budget;

/// How an exchange ended.
enum class exchange_end {
    Complete, ///< The whole response was read.
    Stopped, ///< A handler stopped the read.
    NotSent, ///< No connection was made, or the request cannot be written: no byte left this process.
    Lost, ///< The connection ended in the middle of the request or response.
    TimedOut, ///< No byte could be read or written in time.
    Malformed, ///< The response is not HTTP, or longer than its limits.
    Aborted, ///< call_abort ended the call after the connection was made.
};

/// Handlers of a response; each returns whether to read on.
struct response_handlers {
    std::function<bool(int status, const header_list& headers)> head;
    std::function<bool(std::string_view bytes)> body;
};

/// Result of an exchange.
struct exchange_result {
    exchange_end end = exchange_end::NotSent;
    std::string detail; ///< for logs, unless Complete
    bool refused = false; ///< NotSent because nothing listens at the address
};

/// A response kept in memory.
struct buffered_response {
    exchange_result result;
    int status = 0;
    header_list headers;
    std::string body;
    std::shared_ptr<const memory_reservation> memory; ///< of the body and of its copies on the way to the caller
};

/// Sends one request and reads its response piece by piece. Connections are not reused: on a reused connection a
/// request can cross with the peer's close, and it would be unknown whether it ran.
/// \param address "ip:port"
exchange_result exchange(const std::string& address, const service_request& request, const service_timeouts& timeouts,
    const response_handlers& handlers, call_abort& abort);

/// Sends one request and keeps the response.
/// \param maxBodyBytes a longer body ends the exchange as Malformed
/// \param memory limits the bodies of all exchanges together; a body that it does not allow ends the exchange as
/// Malformed. Outlives the response.
buffered_response exchangeBuffered(const std::string& address, const service_request& request,
    const service_timeouts& timeouts, std::size_t maxBodyBytes, memory_budget& memory, call_abort& abort);

/// \param address "ip:port"
/// \return whether the machine there refuses a connection; false also when it does not answer in time
bool refusesConnections(const std::string& address, std::chrono::milliseconds timeout);

} // namespace oriolepick
