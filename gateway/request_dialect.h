/// \file
/// Interface to the HTTP header names of one deployment. Implementations only translate and make no decisions.
#pragma once

#include "core/error.h"
#include "gateway/http_message.h"
#include "routing/engine_report.h"
#include "routing/request_hash.h"
#include "routing/routing_names.h"
#include "routing/run_copy.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// Properties that a caller declares in the header of a request.
struct caller_request {
    std::string host;
    std::string attempt; ///< identifies one sending of the request by its caller
    std::optional<std::chrono::milliseconds> patience; ///< how long the caller waits for the response
    std::optional<std::string> key; ///< API key, which identifies the caller's team
    std::optional<std::uint64_t> lastEvent; ///< the caller has received the stream up to this event
    std::string model; ///< empty when not given
    /// Identifiers of the parts of the prompt that other requests may share, in order; without the last part, which
    /// belongs to the request or its session.
    std::vector<std::string> sharedParts;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /// Output length that the caller estimates: accurate at the median, often far off for a single request.
    std::optional<std::uint64_t> estimatedOutputTokens;
};

/// Fields that the gateway adds to the caller's request for a target.
struct target_instruction {
    target_name expectedTarget; ///< any other target must not run the request
    std::optional<std::chrono::milliseconds> patience; ///< the target stops the run after this time
    std::optional<team_name> team;
    std::optional<std::uint32_t> priority; ///< priority among the requests of the target; 0 is the most urgent
    std::optional<std::uint64_t> lastEvent; ///< the stream continues after this event
    std::optional<std::string> copyTo; ///< address of the target that receives a continuous copy of the run
    std::optional<run_copy> resumeFrom; ///< continue from this copy
};

/// Properties that a target declares in the header of a response.
struct target_reply {
    std::string attempt; ///< the attempt that the response belongs to; empty when not given
    bool notRun = false; ///< the target did not run the request and will not run it
    bool signedByTarget = false; ///< the response carries the receipt of a target that ran the request
    bool encoded = false; ///< the body has a content encoding, so it is not the body that the target produced
    std::optional<target_name> actualTarget; ///< the target at this address, if it is not the expected one
    bool leaving = false; ///< the target shuts down soon and accepts no new requests
    /// Time for which this node must send the target no requests; nothing when the field is absent or invalid.
    std::optional<std::chrono::milliseconds> pause;
    bool pauseInvalid = false; ///< the pause field is present, but malformed, negative or unreasonably long
    /// Requests a second that the target accepts from all nodes together, as written; nothing when the field is absent
    /// or not a number.
    std::optional<double> requestLimit;
    bool requestLimitInvalid = false; ///< the limit field is present, but not a number
    std::optional<std::chrono::seconds> idleTimeout; ///< the target closes an idle connection after this time
};

/// Translates between HTTP header fields and the types of the gateway.
class request_dialect {
public:
    virtual ~request_dialect() = default;

    /// \return the load reported in a probe response, or nothing when the body cannot be parsed
    virtual std::optional<engine_report> readProbe(std::string_view body) const = 0;

    /// \return the decoded request, or a BadRequest error that names the field
    virtual result<caller_request> readRequest(const http_request& request) const = 0;

    /// \return the encoded request for a target, with method, request target and body unchanged
    virtual std::string writeRequest(const http_request& request, const target_instruction& instruction) const = 0;

    /// \return a request for the load of \p target, which any other target at its address rejects
    virtual std::string writeProbe(const target_name& target, const std::string& address) const = 0;

    /// \return a request to the target at \p address to copy the run of \p attempt to \p holder
    virtual std::string writeCopyRequest(
        const std::string& address, const std::string& attempt, const std::string& holder) const = 0;

    /// \return the handle in the response to a copy request, or nothing when the body cannot be parsed
    virtual std::optional<std::string> readCopyHandle(std::string_view body) const = 0;

    /// \return a request to the source at \p address to release the copy with \p handle
    virtual std::string writeCopyRelease(const std::string& address, const std::string& handle) const = 0;

    /// \return a hash that is equal for every sending of the same request by its caller, and different for other
    /// requests
    virtual request_hash requestHashOf(const http_request& request) const = 0;

    virtual target_reply readReply(const http_response_head& head) const = 0;
};

} // namespace oriolepick
