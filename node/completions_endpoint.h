/// \file
/// Opens completions: authentication, names, cursor, policy, and the session.
#pragma once

#include "core/error.h"
#include "node/completion_stream.h"
#include "node/generation_session.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace oriolepick {

struct deployment_settings;
class authenticator;
class cursor_codec;
class fleet_state;
class generation_gate;
class resume_policy;
class state_keeper;
class team_limits;
struct completion_request;

/// What a caller sent, without any HTTP type.
struct completion_call {
    std::string authorization;
    std::string requestKey; ///< header Idempotency-Key, empty when absent
    std::string lastEventId; ///< header Last-Event-ID, empty when absent
    std::string body;
    instant arrived;
};

/// An opened completion.
struct opened_completion {
    std::unique_ptr<completion_stream> stream;
    bool streamed = false; ///< the caller asked for events
};

class completions_endpoint {
public:
    /// \param originPrefix unique to this process: node name and incarnation
    completions_endpoint(std::string originPrefix, const state_keeper& states, const authenticator& callers,
        const cursor_codec& cursors, std::chrono::seconds cursorLifetime, const session_services& services,
        team_limits& limits, generation_gate& gate);
    ~completions_endpoint();

    /// Checks a call, waits for its admission and prepares its session; nothing is dispatched before
    /// completion_stream::begin().
    result<opened_completion> open(const completion_call& call);

private:
    struct resolved_call;

    result<void> resolveNew(const completion_request& request, resolved_call& resolved) const;
    model_ref versionInService(const deployment_settings& settings) const;
    result<void> resolveCursor(
        const completion_call& call, const completion_request& request, resolved_call& resolved) const;
    session_request sessionFor(
        const completion_request& request, const resolved_call& resolved, const completion_call& call);
    result<void> admit(session_request& session, const completion_call& call);
    std::string nextOrigin();

    std::string m_originPrefix;
    const state_keeper& m_states;
    const authenticator& m_callers;
    const cursor_codec& m_cursors;
    std::chrono::seconds m_cursorLifetime;
    session_services m_services;
    team_limits& m_limits;
    generation_gate& m_gate;
    std::unique_ptr<resume_policy> m_latencyFirst;
    std::unique_ptr<resume_policy> m_waiting;
    std::atomic<std::uint64_t> m_counter { 0 };
};

} // namespace oriolepick
