/// \file
/// Calls of callers to plain services, repeatable or not.
#pragma once

#include "core/call_row.h"
#include "core/error.h"
#include "core/instant.h"
#include "targets/service_client.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace oriolepick {

class authenticator;
class call_driver;
class crash_guard;
class fleet_state;
class active_calls;
class node_metrics;
class resume_admission;
class state_keeper;
class target_directory;
class target_limits;
class team_limits;
class trace_store;
struct call_dispatch;
struct service_method;

/// What a caller sent, without any HTTP type.
struct service_call {
    std::string authorization;
    std::string requestKey; ///< header Idempotency-Key, empty when absent
    std::string service; ///< name in the caller's fleet
    std::string method;
    std::string path; ///< with leading '/', with the query
    std::string contentType;
    std::string body;
    instant arrived;
};

/// The answer to the caller.
struct service_reply {
    call_reply reply;
    std::string fleet; ///< for counters
};

class service_endpoint {
public:
    service_endpoint(std::string keyPrefix, const state_keeper& states, const authenticator& callers,
        call_driver& calls, service_client& services, target_directory& targets, crash_guard& crashes,
        target_limits& targetLimits, active_calls& active, team_limits& limits, resume_admission& retries,
        node_metrics& metrics, trace_store& traces);

    /// Serves a call; blocks until its answer.
    service_reply call(const service_call& call);

    /// \return what is known of a non-idempotent call by its key
    call_reply lookUp(const std::string& authorization, const std::string& key);

private:
    call_reply serve(const service_call& call, const team_id& team);
    call_reply serveAdmitted(const service_call& call, const request_key& key, call_dispatch dispatch,
        const service_method& method, instant deadline);
    call_reply refuseForCrashes(
        const service_call& call, const request_key& key, const service_method& method, const error& reason);
    call_reply callRepeatable(const team_id& team, const call_dispatch& dispatch, instant deadline);
    call_reply callOnce(const service_call& call, const request_key& key, call_dispatch dispatch, instant deadline);
    call_reply refuse(const service_call& call, const request_key& key, const error& reason);
    void count(const std::string& fleet, const std::string& service, const call_reply& reply, instant arrived);

    std::string m_keyPrefix;
    const state_keeper& m_states;
    const authenticator& m_callers;
    call_driver& m_calls;
    service_client& m_services;
    target_directory& m_targets;
    crash_guard& m_crashes;
    target_limits& m_targetLimits;
    active_calls& m_active;
    team_limits& m_limits;
    resume_admission& m_retries;
    node_metrics& m_metrics;
    trace_store& m_traces;
    std::atomic<std::uint64_t> m_counter { 0 };
};

} // namespace oriolepick
