/// \file
/// The table row of one non-idempotent call, the single source of truth about whether the call ran.
#pragma once

#include "core/error.h"
#include "core/instant.h"
#include "core/names.h"
#include "core/store_version.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

class memory_reservation;

/// States of the row. Only the claimer changes a Claimed row, and only a new claim changes a Refused row.
enum class call_row_state {
    Claimed, ///< one node may dispatch the call, or has dispatched it
    Answered, ///< the call ran and the row contains the answer
    Refused, ///< the call did not run; may be claimed again after \c at plus the clock skew
    MayHaveRun, ///< the call was dispatched and its outcome is unknown; final
};

/// The response of a target, which every retry of the call receives.
struct call_answer {
    int status = 0;
    std::string contentType;
    std::string body;
    std::shared_ptr<const memory_reservation> memory {}; ///< of the body, if it was received from a target

    friend bool operator==(const call_answer& left, const call_answer& right)
    {
        return left.status == right.status && left.contentType == right.contentType && left.body == right.body;
    }
};

/// The decoded value of the row.
struct call_row {
    call_row_state state = call_row_state::Claimed;
    std::string claimId; ///< of the writer: node, incarnation and counter; identifies its write after a lost response
    std::uint64_t bodyDigest = 0; ///< digest of method, path and body; detects the reuse of a key for another request
    node_id node; ///< node of the claimer
    wall_time at; ///< time of the write; for Refused, the latest time at which a caller may receive "not run"
    call_answer answer; ///< only when Answered
};

/// A row with its version in the table.
struct versioned_call_row {
    call_row row;
    store_version version;
};

/// Encodes rows as table values and decodes them.
class call_row_codec {
public:
    virtual ~call_row_codec() = default;

    /// \return the value stored in the table
    virtual std::string encode(const call_row& row) const = 0;

    /// \return the row, or an error that names the malformed field
    virtual result<call_row> decode(std::string_view value) const = 0;
};

/// The final response to the caller of a call: the target's answer, or an error whose kind states whether the call ran.
using call_reply = result<call_answer>;

/// \return the table key "call/fleet/team/key"
std::string callRowKey(const request_key& key);

/// \return the key prefix of all calls of \p team
std::string callRowPrefix(const team_id& team);

/// \return the reply to a caller that queries the call by its key
/// \param row nothing if the table has no row
/// \param now determines whether a refused row still proves "not run"
call_reply describeCall(const std::optional<call_row>& row, wall_time now);

/// \return "claimed", "answered", "refused" or "may_have_run"
std::string_view toString(call_row_state state);

} // namespace oriolepick
