/// \file
/// Coordinates all open non-idempotent calls of one node, the committer that writes their rows and the followers that
/// wait for their outcomes. The node passes events to the coordinator and executes the returned actions.
#pragma once

#include "core/call_claim.h"
#include "core/claim_committer.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolepick {

using call_number = std::uint64_t; ///< Number of an open call at one node; never reused.

/// Commit the transaction and pass the outcome to commitFinished(). At most one transaction is in flight.
struct commit_call_rows {
    table_transaction transaction;
};
/// Read one row and pass the outcome to rowRead().
struct read_desk_row {
    call_number number = 0;
    std::string key;
};
/// Choose a target and pass the outcome to targetChosen() or noTarget().
struct place_desk_call {
    call_number number = 0;
    std::vector<target_id> excluded;
};
/// Send the call once and pass the outcome to dispatchUnsent(), dispatchAnswered() or dispatchInterrupted().
struct send_desk_call {
    call_number number = 0;
    target_id target;
};
/// Return the only response to the caller.
struct answer_desk_call {
    call_number number = 0;
    call_reply reply;
};
/// Query the outcome of a claim at a node, possibly this one, which passes the query to claimInquiry().
struct ask_claimer {
    node_id node;
    request_key key;
    std::string claimId;
};
/// Send the outcome of a claim to a node, possibly this one, which passes the row to claimNotice().
struct tell_follower {
    node_id node;
    request_key key;
    call_row row;
};

using desk_action = std::variant<commit_call_rows, read_desk_row, place_desk_call, send_desk_call, answer_desk_call,
    ask_claimer, tell_follower>;
using desk_actions = std::vector<desk_action>;

/// Counters for the metrics.
struct desk_counters {
    std::uint64_t opened = 0;
    std::uint64_t reads = 0;
    std::uint64_t malformedRows = 0;
    std::uint64_t recoveries = 0;
    std::uint64_t foreignInquiries = 0; ///< inquiries about a claim that this node never made
};

/// The open calls of one node. Not thread-safe.
class call_desk {
public:
    /// \param node this node
    /// \param incarnation grows with each start of the node, so that claim ids are never reused
    /// \param codec must outlive the coordinator
    call_desk(node_id node, std::uint64_t incarnation, call_settings settings, committer_settings committer,
        const call_row_codec& codec, std::uint64_t seed);
    ~call_desk();
    call_desk(const call_desk&) = delete;
    call_desk& operator=(const call_desk&) = delete;

    /// Opens a call: claims its key, chooses a target and sends the call.
    std::pair<call_number, desk_actions> open(claim_time time, call_request request);

    /// Opens a call that is refused at once because of a limit, overload or drain.
    std::pair<call_number, desk_actions> openRefused(claim_time time, call_request request, error reason);

    desk_actions commitFinished(claim_time time, const result<table_outcome>& outcome);
    desk_actions rowRead(claim_time time, call_number number, const result<std::optional<table_row>>& outcome);

    desk_actions targetChosen(claim_time time, call_number number, const target_id& target);
    desk_actions noTarget(claim_time time, call_number number, std::chrono::milliseconds retryAfter);
    desk_actions dispatchUnsent(claim_time time, call_number number);
    desk_actions dispatchAnswered(claim_time time, call_number number, call_answer answer);
    desk_actions dispatchBroken(claim_time time, call_number number);

    /// Processes the inquiry of a node that found a claim of this node in the table.
    desk_actions inquiry(claim_time time, const node_id& follower, const request_key& key, const std::string& claimId);

    /// Processes the final row of a claim, received from its claimer.
    desk_actions notice(claim_time time, const call_row& row);

    /// Processes the death or restart of a node.
    desk_actions nodeGone(claim_time time, const node_id& node);

    /// Processes all due timers.
    desk_actions tick(claim_time time);

    /// \return when tick() is due next, or nothing
    std::optional<instant> wakeAt() const;

    /// Sets the number of live nodes that share the write rate of the table.
    void setFleetSize(std::size_t nodes) { m_committer.setFleetSize(nodes); }

    std::size_t openCalls() const { return m_calls.size(); }
    const desk_counters& counters() const { return m_counters; }
    const claim_committer& committer() const { return m_committer; }

private:
    struct open_call;

    open_call* find(call_number number);
    open_call& create(call_request request, std::string claimId);
    void apply(claim_time time, open_call& call, claim_actions actions, desk_actions& out);
    void applyOne(claim_time time, open_call& call, claim_action& action, desk_actions& out);
    void writeRow(claim_time time, open_call& call, const write_call_row& write, desk_actions& out);
    void follow(open_call& call, const follow_claim& followed, desk_actions& out);
    void stopFollowing(open_call& call);
    static void notifyAll(open_call& call, const call_row& row, desk_actions& out);
    void recover(claim_time time, const node_id& follower, const request_key& key, const std::string& claimId,
        bool mayHaveDispatched, desk_actions& out);
    void settleCall(open_call& call);
    void commitIfDue(claim_time time, desk_actions& out);

    node_id m_node;
    std::string m_incarnationPrefix; ///< of the claim ids of this process: "node/incarnation/"
    std::string m_nodePrefix; ///< of the claim ids of all incarnations: "node/"
    call_settings m_settings;
    const call_row_codec& m_codec;
    claim_committer m_committer;
    call_number m_lastNumber = 0;
    absl::flat_hash_map<call_number, std::unique_ptr<open_call>> m_calls;
    absl::flat_hash_map<std::string, call_number> m_byClaim;
    absl::flat_hash_map<std::string, std::set<call_number>> m_following; ///< local calls only
    std::set<std::pair<instant, call_number>> m_timers;
    desk_counters m_counters;
};

} // namespace oriolepick
