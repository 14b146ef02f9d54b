/// \file
/// State machine of one non-idempotent call at one node. The call claims its key in the table, is dispatched at most
/// once and receives exactly one response.
#pragma once

#include "core/call_row.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace oriolepick {

/// The steady clock and the wall clock, read at the same time.
struct clock_reading {
    instant now;
    wall_time wall;
};

/// Timeouts and limits of calls.
struct call_settings {
    std::chrono::milliseconds claimTimeout { 2000 }; ///< from arrival until the claim must be confirmed
    std::chrono::milliseconds refusalTimeout { 2000 }; ///< for the row that must precede a "not run" response
    std::chrono::milliseconds recordTimeout { 250 }; ///< longest delay of an answer until its row is written
    std::chrono::milliseconds followPollInterval { 1000 }; ///< reads of the followed row until a notice arrives
    std::chrono::milliseconds minRetryDelay { 200 }; ///< after a failed read or write; doubles up to \c maxRetryDelay
    std::chrono::milliseconds maxRetryDelay { 5000 };
    std::chrono::milliseconds clockSkew { 1000 }; ///< largest difference between the wall clocks of two nodes
    std::chrono::milliseconds refusalValidity { 1000 }; ///< of a refused row, from its building until the response
    std::chrono::milliseconds retryAfter { 1000 }; ///< for errors that have no retry time of their own
    unsigned maxPlacements = 3; ///< targets tried while all earlier dispatches are proven unsent
};

/// A request of a caller.
struct call_request {
    request_key key;
    bool callerSuppliedKey = true; ///< false if the node generated the key
    std::uint64_t bodyDigest = 0;
    wall_time arrival;
    instant deadline;
};

/// Write the row if it still has \c version (nothing: if it is absent). The previous write has completed.
struct write_call_row {
    std::optional<store_version> version;
    call_row row;
};
/// Withdraw the pending write; call rowDropped() if the write is certain to have no effect.
struct withdraw_call_row { };
/// Read the row.
struct read_call_row { };
/// Choose a target that is not excluded.
struct choose_call_target {
    std::vector<target_id> excluded;
};
/// Send the call to the target, once.
struct dispatch_call {
    target_id target;
};
/// Subscribe to the claimer's notice of the end of its claim.
struct follow_claim {
    node_id node;
    std::string claimId;
};
/// Return the only response to the caller.
struct respond_call {
    call_reply reply;
};
/// Send the final row of this claim to all its followers.
struct notify_followers {
    call_row row;
};

using claim_action = std::variant<write_call_row, withdraw_call_row, read_call_row, choose_call_target, dispatch_call,
    follow_claim, respond_call, notify_followers>;
using claim_actions = std::vector<claim_action>;

/// The state machine of one call. At most one row operation (write or read) is outstanding at any time. The object must
/// not be destroyed before finished() is true, because a dispatched call has to be recorded.
class call_claim {
public:
    /// \param settings must outlive the call
    /// \param claimId unique to this call: node, incarnation and counter
    call_claim(const call_settings& settings, call_request request, node_id node, std::string claimId);

    /// Starts to claim the key.
    claim_actions start(clock_reading time);

    /// Refuses the call before any dispatch. The caller receives \p reason once the row proves "not run". Has no effect
    /// after the dispatch, after the response, and while the call follows another claim of its key.
    claim_actions refuse(clock_reading time, error reason);

    /// Resolves an abandoned claim with this claim id. No caller waits for its response.
    /// \param mayHaveDispatched whether the lost claimer may have dispatched the call
    claim_actions recover(clock_reading time, bool mayHaveDispatched);

    claim_actions rowWritten(clock_reading time, const store_version& version);
    claim_actions rowConflicted(clock_reading time);
    claim_actions rowDropped(clock_reading time); ///< the write was rejected or withdrawn and had no effect
    /// \param epoch of the store, for an absent row
    claim_actions rowRead(clock_reading time, const std::optional<versioned_call_row>& found, store_epoch epoch = 0);
    claim_actions readFailed(clock_reading time);

    claim_actions targetChosen(clock_reading time, const target_id& target);
    claim_actions noTarget(clock_reading time, std::chrono::milliseconds retryAfter);
    claim_actions dispatchUnsent(clock_reading time); ///< no byte of the call was sent
    claim_actions dispatchAnswered(clock_reading time, call_answer answer);
    claim_actions dispatchInterrupted(clock_reading time); ///< the call was sent and its outcome is unknown

    claim_actions followedClaimEnded(clock_reading time, const call_row& row); ///< the followed claim ended
    claim_actions claimerLost(clock_reading time); ///< the followed claimer is dead or has restarted
    claim_actions timerFired(clock_reading time);

    bool finished() const { return m_step == step::Finished; }
    bool responded() const { return m_responded; }
    bool dispatched() const { return m_step == step::Dispatched || m_goal == goal::Record; }
    std::optional<instant> timerAt() const; ///< when timerFired() is due
    const call_request& request() const { return m_request; }
    const std::string& claimId() const { return m_claimId; }
    const std::string& followedClaim() const { return m_followedClaimId; } ///< empty unless another claim is followed
    const std::optional<call_row>& finalRow() const { return m_finalRow; } ///< last row of the claim, once known

private:
    enum class goal { Claim, Refuse, Record };
    enum class step { Idle, Writing, Reading, Waiting, Placing, Dispatched, Following, Finished };

    call_row makeRow(goal wanted, wall_time wall) const;
    void writeRow(clock_reading time, claim_actions& actions);
    void readRow(claim_actions& actions);
    void retryLater(clock_reading time);
    void requestPlacement(claim_actions& actions);
    void beginRefusal(clock_reading time, error reason, claim_actions& actions);
    void beginRecord(clock_reading time, claim_actions& actions);
    void handleOwnRow(clock_reading time, const versioned_call_row& found, claim_actions& actions);
    void handleOtherRow(clock_reading time, const versioned_call_row& found, claim_actions& actions);
    void handleOtherRefusal(clock_reading time, const versioned_call_row& found, claim_actions& actions);
    void reportRefusal(clock_reading time, claim_actions& actions);
    void followOtherClaim(clock_reading time, const call_row& row, claim_actions& actions);
    void handleReplyTimeout(clock_reading time, claim_actions& actions);
    void respond(call_reply reply, claim_actions& actions);
    void publishFinalRow(const call_row& row, claim_actions& actions);
    void finish();
    call_reply outcomeReply() const;
    error claimUnavailableError() const;
    error earlierRefusalError(wall_time wall, wall_time refusedUntil) const;

    const call_settings& m_settings;
    call_request m_request;
    node_id m_node;
    std::string m_claimId;
    goal m_goal = goal::Claim;
    goal m_writeGoal = goal::Claim; ///< purpose of the outstanding write
    step m_step = step::Idle;
    bool m_responded = false;
    std::optional<store_version> m_version; ///< version that the next write expects
    wall_time m_refusedUntil; ///< \c at of the refused row that is being written
    std::optional<error> m_reason; ///< why the call is refused
    std::optional<call_answer> m_answer;
    target_id m_target; ///< of the current dispatch
    std::vector<target_id> m_unsentTargets; ///< targets to which provably nothing was sent
    std::string m_followedClaimId;
    node_id m_followedNode;
    bool m_followedNodeLost = false;
    std::optional<call_row> m_finalRow;
    instant m_replyDeadline;
    std::optional<instant> m_retryAt;
    std::chrono::milliseconds m_retryDelay { 0 };
};

} // namespace oriolepick
