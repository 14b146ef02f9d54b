/// \file
/// Port to plain services.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace oriolepick {

class call_abort;
class memory_reservation;

using header_list = std::vector<std::pair<std::string, std::string>>; ///< names and values in order

/// One HTTP call.
struct service_request {
    std::string method;
    std::string path; ///< begins with '/', with the query, percent-encoded
    header_list headers; ///< hop-by-hop headers and Host are left out by the adapter
    std::string body;
};

/// What is known of a call.
enum class service_outcome_kind {
    Response, ///< The whole response arrived.
    NotSent, ///< Proven: no byte of the request left this process.
    MayHaveRun, ///< The request was sent in part or whole and no whole response arrived.
};

/// Outcome of a call.
struct service_outcome {
    service_outcome_kind kind = service_outcome_kind::NotSent;
    int status = 0; ///< HTTP status of a Response
    header_list headers; ///< of a Response, without hop-by-hop headers
    std::string body;
    std::shared_ptr<const memory_reservation> memory; ///< of the body and of its copies on the way to the caller
    std::string detail; ///< for logs, when there is no Response
    bool limited = false; ///< NotSent because the target's request limit is used up
};

/// Time limits of a call.
struct service_timeouts {
    std::chrono::milliseconds connect { 1000 };
    std::chrono::milliseconds idle { 30000 }; ///< longest time without any byte of the response
    /// Longest time from the first byte sent to the end of the response, however often bytes arrive; 0 for no limit.
    std::chrono::milliseconds total { 0 };
};

/// Plain services as this system uses them. Implementations are thread-safe and never send a request twice.
class service_client {
public:
    virtual ~service_client() = default;

    /// Makes one call and blocks until its outcome is known.
    /// \param address "ip:port"
    virtual service_outcome call(
        const std::string& address, const service_request& request, const service_timeouts& timeouts, call_abort& abort)
        = 0;

    /// \return whether the machine at \p address answers that nobody listens there: the process has ended
    virtual bool refusesConnections(const std::string& address, std::chrono::milliseconds timeout) = 0;
};

} // namespace oriolepick
