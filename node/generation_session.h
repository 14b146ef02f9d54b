/// \file
/// Runs one generation: executes the actions of core's state machine with real engines, timers and metrics, and hands
/// its output to the thread that serves the caller.
#pragma once

#include "core/generation.h"
#include "core/placement.h"
#include "core/response_wait.h"
#include "node/attempt_reader_thread.h"
#include "node/crash_guard.h"
#include "node/request_permit.h"
#include "node/target_directory.h"

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class engine_client;
class event_channel;
class node_metrics;
class task_pool;
class trace_store;
struct node_status;

/// What a session uses; all of it outlives the session.
struct session_services {
    engine_client& engines;
    target_directory& targets;
    task_pool& tasks;
    node_metrics& metrics;
    trace_store& traces;
    resume_admission& admission;
    crash_guard& crashes;
    const node_status& status;
};

/// Parts of the request that the state machine does not need.
struct session_request {
    generation_request generation;
    deployment_id deployment;
    std::vector<target_id> allowedTargets;
    std::string prompt;
    std::uint64_t seed = 0;
    int priority = 5;
    double latencyWeight = 0.5; ///< of the placement, from 0 (least extra use) to 1 (least latency)
    std::unique_ptr<request_permit> permit; ///< given back when the session ends
    guarded_request guarded; ///< recorded as ended when the session ends
    std::uint64_t readerEpoch = 0; ///< epoch of the first attach
    instant arrived;
};

/// A token for the caller with what its cursor needs.
struct session_token {
    deliver_token delivered;
    attempt_id attempt;
    target_id target;
};

/// \param priority from 0 (can wait) to 9 (most urgent)
/// \return the class that queues and placement use
request_priority placementPriority(int priority);

/// How a session ended.
struct session_end {
    std::optional<finish_reason> finished; ///< set when the response is complete
    bool handedOver = false; ///< another reader continues the stream
    error_kind kind = error_kind::Internal; ///< when neither
    std::chrono::milliseconds retryAfter { 0 };
};

/// One generation in this process. Used by one thread, which calls wait() until ended() and all tokens are taken.
class generation_session {
public:
    generation_session(session_request request, const resume_policy& policy, const session_services& services);
    ~generation_session();
    generation_session(const generation_session&) = delete;
    generation_session& operator=(const generation_session&) = delete;

    /// Starts the generation; called once, before wait().
    void start();

    /// Handles events until there are tokens to take, the session ended, or \p limit has passed.
    void wait(instant limit);

    /// Reports that the caller's connection is gone. The attempt stays readable for a short time, so that the caller
    /// can go on at another node, and is cancelled after it.
    void callerDisconnected();

    /// Removes and returns the tokens that are ready.
    std::vector<session_token> takeTokens();

    bool hasTokens() const { return !m_tokens.empty(); }
    bool ended() const { return m_end.has_value(); }
    const session_end& end() const { return *m_end; }
    bool delivered() const { return m_lastToken.has_value(); } ///< whether a token went to the caller
    const session_request& request() const { return m_request; }
    std::uint64_t readerEpoch() const { return m_readerEpoch; }

private:
    struct running_attempt {
        target_id target;
        std::string address;
        std::uint32_t uncachedTokens = 0;
        instant dispatched;
        bool counted = false; ///< a dispatch is recorded in the directory
        bool started = false;
        std::unique_ptr<attempt_reader_thread> reader;
    };

    void handle(const generation_event& event, instant arrived);
    void checkTimer(instant now);
    bool hasPendingInput() const;
    void execute(const generation_actions& actions);
    void run(const choose_target& action);
    void run(const start_attempt& action);
    void run(const attach_attempt& action);
    void run(const cancel_attempt& action);
    void run(const probe_target& action);
    void run(const deliver_token& action);
    void run(const complete& action);
    void run(const fail& action);
    void run(const set_timer& action);
    void run(const report_crash& action);
    void run(const count& action);

    placement_query placementQuery(const choose_target& action) const;
    std::variant<placed_target, placement_failure> place(const choose_target& action, placement_query query) const;
    attempt_observer observerFor(const target_id& target) const;
    void observeToken(instant now);
    void stopReader(const attempt_id& attempt);
    void countUsage();
    void finish(session_end end);
    void observePlannedStop(instant now);
    void trace(const std::string& line);

    session_request m_request;
    session_services m_services;
    std::shared_ptr<event_channel> m_events;
    generation m_generation;
    std::map<attempt_id, running_attempt> m_attempts;
    std::uint64_t m_readerEpoch;
    std::optional<response_wait> m_timer;
    instant m_handledUntil; ///< no event is handled as if it came before an earlier one
    std::optional<instant> m_disconnected;
    std::optional<instant> m_lastToken;
    bool m_draining = false; ///< the generation knows of the planned stop
    bool m_interrupted = false; ///< the stream broke or stalled since the last token
    std::deque<session_token> m_tokens;
    token_usage m_countedUsage; ///< part of the generation's usage that the metrics include
    std::optional<attempt_id> m_begunAttempt; // the last one whose tokens arrived
    std::optional<session_end> m_end;
};

} // namespace oriolepick
