/// \file
/// The table row of one non-idempotent call, the single source of truth about whether the call ran.
#pragma once

#include "core/error.h"
#include "core/instant.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace oriolepick {

/// States of the row. A row leaves Claimed only by a write of its claimer, and leaves Refused only by a new claim.
enum class call_row_state {
    Claimed, ///< one node may dispatch the call, or has done so
    Answered, ///< ran, with the answer in the row
    Refused, ///< did not run; may be claimed again after \c at plus the allowed clock skew
    MayHaveRun, ///< dispatched with an unknown outcome; final
};

/// The response of a target, as it is repeated to every retry.
struct call_answer {
    int status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const call_answer& left, const call_answer& right)
    {
        return left.status == right.status && left.contentType == right.contentType && left.body == right.body;
    }
};

/// The value of the row.
struct call_row {
    call_row_state state = call_row_state::Claimed;
    std::string
        claimId; ///< who wrote it: node, incarnation and counter; recognises the own write after a lost response
    std::uint64_t bodyDigest = 0; ///< digest of method, path and body, to detect a reused key
    node_id node; ///< node of the claimer
    wall_time at; ///< time of the write; for Refused, the latest time at which a caller is told "not run"
    call_answer answer; ///< only when Answered
};

/// A row with its version in the table.
struct versioned_call_row {
    call_row row;
    std::uint64_t version = 0;
};

/// Turns rows into table values and back.
class call_row_codec {
public:
    virtual ~call_row_codec() = default;

    /// \return the value stored in the table
    virtual std::string encode(const call_row& row) const = 0;

    /// \return the row, or an error naming the malformed field
    virtual result<call_row> decode(std::string_view value) const = 0;
};

/// The final response to the caller of one call: the target's answer, or an error whose kind decides the run state.
using call_reply = result<call_answer>;

/// \return the table key "call/fleet/team/key"
std::string callRowKey(const request_key& key);

/// \return the key prefix of all calls of \p team
std::string callRowPrefix(const team_id& team);

/// Describes a call to a caller that queries it by key.
/// \param row nothing when the table has no row
/// \param now decides whether a refused row still proves "not run"
call_reply describeCall(const std::optional<call_row>& row, wall_time now);

/// \return "claimed", "answered", "refused" or "may_have_run"
std::string_view toString(call_row_state state);

} // namespace oriolepick
