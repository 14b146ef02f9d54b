/// \file
/// Runs core's non-idempotent calls: the desk on the control loop, its commits and reads on the task pool, its sends on
/// threads of their own, so that a slow service does not delay anything else.
#pragma once

#include "config/call_row_json.h"
#include "core/call_coordinator.h"
#include "core/call_garbage_collector.h"
#include "core/crash_ledger.h"
#include "node/task_pool.h"
#include "targets/service_client.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace oriolepick {

class active_calls;
class control_loop;
class crash_guard;
class fleet_state;
class node_metrics;
class peer_hub;
class table_service;
class target_directory;
class target_limits;

/// What a call needs besides its key: where it may go and what is sent.
struct call_dispatch {
    service_id service;
    std::vector<target_id> targets;
    service_request request;
    service_timeouts timeouts;
    request_fingerprint fingerprint = 0;
};

class call_driver {
public:
    using reply_handler = std::function<void(const call_reply&)>;

    call_driver(table_service& table, service_client& services, target_directory& targets, crash_guard& crashes,
        target_limits& limits, active_calls& active, peer_hub& peers, control_loop& loop, node_metrics& metrics,
        std::chrono::milliseconds tableTimeout, std::uint64_t seed);

    /// Opens a call; \p onReply runs once, on the control loop. Thread-safe.
    void open(call_request request, call_dispatch dispatch, reply_handler onReply);

    /// Refuses a call before any dispatch; "not run" is told only after the table proves it. Thread-safe.
    void refuse(call_request request, error reason, reply_handler onReply);

    /// Reads what is known of a call. Blocks. Thread-safe.
    call_reply lookUp(const request_key& key) const;

    /// Takes the usable nodes; on the control loop.
    void setNodes(const std::vector<node_id>& usable, instant now);

    /// Takes over the teams whose old rows this node removes; on the control loop.
    void applyState(const std::shared_ptr<const fleet_state>& state);

    /// Answers the calls that were not sent yet, for a planned stop; they are not sent afterwards. Those under way end
    /// with their entry in active_calls. On the control loop.
    void endUnsent();

    /// Ends the threads of sends and table operations.
    void stop();

private:
    struct open_call {
        call_dispatch dispatch;
        reply_handler onReply;
        bool sent = false; ///< a dispatch is under way or may have reached a target
    };

    void execute(const coordinator_actions& actions);
    void run(const commit_call_rows& action);
    void run(const fetch_call_row& action);
    void run(const place_call& action);
    void run(const send_call& action);
    void run(const answer_caller& action);
    void run(const send_claim_inquiry& action);
    void run(const send_claim_notice& action);
    void finishSend(call_number number, const target_id& target, service_outcome outcome);
    void collectGarbage(instant now);
    void updatePrefixes();
    void registerMessages();

    table_service& m_table;
    service_client& m_services;
    target_directory& m_targets;
    crash_guard& m_crashes;
    target_limits& m_limits;
    active_calls& m_active;
    peer_hub& m_peers;
    control_loop& m_loop;
    node_metrics& m_metrics;
    std::chrono::milliseconds m_tableTimeout;
    call_row_json m_codec;
    call_coordinator m_desk;
    call_garbage_collector m_collector;
    std::map<call_number, open_call> m_calls;
    std::vector<node_id> m_nodes;
    std::vector<team_id> m_teams;
    task_pool m_tableTasks;
    task_pool m_sendTasks;
};

} // namespace oriolepick
