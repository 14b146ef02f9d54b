/// \file
/// The port between the gateway and the header names of one deployment: it translates and decides nothing.
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

namespace oriolepick {

/// What a caller's request says about itself.
struct caller_request {
    std::string host;
    std::string attempt; ///< identifies one send of one request by its caller
    std::optional<std::chrono::milliseconds> patience; ///< how long the caller waits
    std::optional<std::string> key; ///< names the caller's team
    std::optional<std::uint64_t> lastEvent; ///< the caller has the stream up to this event
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    std::optional<std::uint64_t> estimatedOutputTokens; ///< the caller's estimate: right at the median, often far off
};

/// What the gateway tells a target beside the caller's own request.
struct target_instruction {
    target_name expectedTarget; ///< any other target must not run the request
    std::optional<std::chrono::milliseconds> patience; ///< the target stops work after this time
    std::optional<team_name> team;
    std::optional<std::uint32_t> priority; ///< among the target's requests, 0 is the most urgent
    std::optional<std::uint64_t> lastEvent; ///< the stream goes on after this event
    std::optional<std::string> copyTo; ///< address of the target that the run is copied to as it grows
    std::optional<run_copy> resumeFrom; ///< continue from this copy
};

/// What a target's response says beside status and body.
struct target_reply {
    std::string attempt; ///< the attempt that is answered, empty when not given
    bool notRun = false; ///< the target did not run the request and will not
    bool signedByTarget = false; ///< carries the receipt of a target that ran the request
    bool encoded = false; ///< the body is not what the target made
    std::optional<target_name> actualTarget; ///< who has the address, when it is not the expected target
    bool leaving = false; ///< the target leaves soon and takes nothing new
    /// The target wants no request of this node for so long; nothing when it does not say, or not in a way that is
    /// understood.
    std::optional<std::chrono::milliseconds> pause;
    bool pauseInvalid = false; ///< it says something about a pause that is no time, negative or absurdly long
    std::optional<std::chrono::seconds> idleTimeout; ///< the target closes an idle connection after this time
};

/// Translates between header fields and the gateway's types.
class request_dialect {
public:
    virtual ~request_dialect() = default;

    /// \return the load in the answer to a probe, or nothing when it cannot be read
    virtual std::optional<engine_report> readProbe(std::string_view body) const = 0;

    /// \return the decoded request, or BadRequest naming the field
    virtual result<caller_request> readRequest(const http_request& request) const = 0;

    /// \return the bytes of the request for a target: method, target and body unchanged
    virtual std::string writeRequest(const http_request& request, const target_instruction& instruction) const = 0;

    /// \return a question about the load of \p target, which another target at its address refuses
    virtual std::string writeProbe(const target_name& target, const std::string& address) const = 0;

    /// \return an order to the target at \p address to copy the run of \p attempt to \p holder
    virtual std::string writeCopyRequest(
        const std::string& address, const std::string& attempt, const std::string& holder) const = 0;

    /// \return the handle in the answer to a copy order, or nothing when it cannot be read
    virtual std::optional<std::string> readCopyHandle(std::string_view body) const = 0;

    /// \return an order to the source at \p address to free the copy that \p handle names
    virtual std::string writeCopyRelease(const std::string& address, const std::string& handle) const = 0;

    /// \return what is equal for every send of one request by its caller, and different for other requests
    virtual request_hash requestHashOf(const http_request& request) const = 0;

    virtual target_reply readReply(const http_response_head& head) const = 0;
};

} // namespace oriolepick
