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
struct fetch_call_row {
    call_number number = 0;
    std::string key;
};
/// Choose a target and pass the outcome to targetChosen() or noTarget().
struct place_call {
    call_number number = 0;
    std::vector<target_id> excluded;
};
/// Send the call once and pass the outcome to dispatchUnsent(), dispatchAnswered() or dispatchInterrupted().
struct send_call {
    call_number number = 0;
    target_id target;
};
/// Return the only response to the caller.
struct answer_caller {
    call_number number = 0;
    call_reply reply;
};
/// Query the outcome of a claim at a node, possibly this one, which passes the query to claimInquiry().
struct send_claim_inquiry {
    node_id node;
    request_key key;
    std::string claimId;
};
/// Send the outcome of a claim to a node, possibly this one, which passes the row to claimNotice().
struct send_claim_notice {
    node_id node;
    request_key key;
    call_row row;
};

using coordinator_action = std::variant<commit_call_rows, fetch_call_row, place_call, send_call, answer_caller,
    send_claim_inquiry, send_claim_notice>;
using coordinator_actions = std::vector<coordinator_action>;

/// Counters for the metrics.
struct coordinator_counters {
    std::uint64_t opened = 0;
    std::uint64_t reads = 0;
    std::uint64_t malformedRows = 0;
    std::uint64_t recoveries = 0;
    std::uint64_t unknownClaimInquiries = 0; ///< inquiries about a claim that this node never made
};

/// The open calls of one node. Not thread-safe.
class call_coordinator {
public:
    /// \param node this node
    /// \param incarnation grows with each start of the node, so that claim ids are never reused
    /// \param codec must outlive the coordinator
    call_coordinator(node_id node, std::uint64_t incarnation, call_settings settings, committer_settings committer,
        const call_row_codec& codec, std::uint64_t seed);
    ~call_coordinator();
    call_coordinator(const call_coordinator&) = delete;
    call_coordinator& operator=(const call_coordinator&) = delete;

    /// Opens a call: claims its key, chooses a target and sends the call.
    std::pair<call_number, coordinator_actions> open(clock_reading time, call_request request);

    /// Opens a call that is refused at once because of a limit, overload or drain.
    std::pair<call_number, coordinator_actions> openRefused(clock_reading time, call_request request, error reason);

    coordinator_actions commitFinished(clock_reading time, const result<table_outcome>& outcome);
    coordinator_actions rowRead(
        clock_reading time, call_number number, const result<std::optional<table_row>>& outcome, store_epoch epoch = 0);

    coordinator_actions targetChosen(clock_reading time, call_number number, const target_id& target);
    coordinator_actions noTarget(clock_reading time, call_number number, std::chrono::milliseconds retryAfter);
    coordinator_actions dispatchUnsent(clock_reading time, call_number number);
    coordinator_actions dispatchAnswered(clock_reading time, call_number number, call_answer answer);
    coordinator_actions dispatchInterrupted(clock_reading time, call_number number);

    /// Processes the inquiry of a node that found a claim of this node in the table.
    coordinator_actions claimInquiry(
        clock_reading time, const node_id& follower, const request_key& key, const std::string& claimId);

    /// Processes the final row of a claim, received from its claimer.
    coordinator_actions claimNotice(clock_reading time, const call_row& row);

    /// Processes the death or restart of a node.
    coordinator_actions nodeLost(clock_reading time, const node_id& node);

    /// Processes all due timers.
    coordinator_actions tick(clock_reading time);

    /// \return when tick() is due next, or nothing
    std::optional<instant> wakeAt() const;

    /// Sets the number of live nodes that share the write rate of the table.
    void setFleetSize(std::size_t nodes) { m_committer.setFleetSize(nodes); }

    std::size_t openCalls() const { return m_calls.size(); }
    const coordinator_counters& counters() const { return m_counters; }
    const claim_committer& committer() const { return m_committer; }

private:
    struct open_call;

    open_call* find(call_number number);
    open_call& create(call_request request, std::string claimId);
    void executeActions(clock_reading time, open_call& call, claim_actions actions, coordinator_actions& out);
    void executeAction(clock_reading time, open_call& call, claim_action& action, coordinator_actions& out);
    void writeRow(clock_reading time, open_call& call, const write_call_row& write, coordinator_actions& out);
    void follow(open_call& call, const follow_claim& followed, coordinator_actions& out);
    void stopFollowing(open_call& call);
    static void notifyFollowers(open_call& call, const call_row& row, coordinator_actions& out);
    void recover(clock_reading time, const node_id& follower, const request_key& key, const std::string& claimId,
        bool mayHaveDispatched, coordinator_actions& out);
    void closeOrReschedule(open_call& call);
    void commitIfDue(clock_reading time, coordinator_actions& out);

    node_id m_node;
    std::string m_incarnationPrefix; ///< of the claim ids of this process: "node/incarnation/"
    std::string m_nodePrefix; ///< of the claim ids of all incarnations: "node/"
    call_settings m_settings;
    const call_row_codec& m_codec;
    claim_committer m_committer;
    call_number m_lastNumber = 0;
    absl::flat_hash_map<call_number, std::unique_ptr<open_call>> m_calls;
    absl::flat_hash_map<std::string, call_number> m_callByClaimId;
    absl::flat_hash_map<std::string, std::set<call_number>> m_followersByClaimId; ///< local calls only
    std::set<std::pair<instant, call_number>> m_timers;
    coordinator_counters m_counters;
};

} // namespace oriolepick
