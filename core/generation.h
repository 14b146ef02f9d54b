/// \file
/// Life cycle of one streamed generation as a state machine without I/O.
#pragma once

#include "core/attempt_record.h"
#include "core/generation_actions.h"
#include "core/generation_events.h"
#include "core/generation_request.h"
#include "core/instant.h"
#include "core/stall_detector.h"
#include "core/token.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolepick {

class resume_admission;
class resume_policy;
struct resume_rules;

/// States of a generation. The last three are final.
enum class generation_state {
    Queued, ///< created, not started
    Placing, ///< the first attempt is being placed, or waits for its first token
    Streaming, ///< the current attempt produces tokens
    Suspect, ///< the current attempt stalls
    Resuming, ///< the stream was interrupted; an attach or another attempt is being set up
    HandedOver, ///< another node or reader continues the stream
    Finished, ///< completed, or failed after a dispatch
    Refused, ///< failed before any dispatch
};

/// \return the name of the state, for traces
std::string_view toString(generation_state state);

/// Tokens that a generation delivered and wasted.
struct token_usage {
    std::uint64_t delivered = 0; ///< tokens delivered to the caller
    std::uint64_t extraOutput = 0; ///< output tokens received but not delivered: dropped, replayed or of a losing hedge
    std::uint64_t extraPrefill = 0; ///< prompt and prefix tokens sent again with attempts beyond the first
};

/// One streamed generation. Exactly one final action (complete or fail) is emitted after start.
class generation {
public:
    /// \param request what to generate
    /// \param policy strategy for stalled and broken streams, outlives this object
    /// \param admission retry budget for attempts beyond the first, outlives this object
    /// \param paces token rates of targets over all streams, outlives this object
    generation(generation_request request, const resume_policy& policy, resume_admission& admission,
        const target_pace_source& paces);
    generation(const generation&) = delete;
    generation& operator=(const generation&) = delete;

    /// Starts the generation. Must be called once.
    /// \return the actions to execute in order
    generation_actions start(instant now);

    /// Handles one event. Events after the end, of unknown attempts or out of order are tolerated.
    /// \return the actions to execute in order
    generation_actions handle(const generation_event& event, instant now);

    generation_state state() const { return m_state; }
    bool ended() const { return m_state >= generation_state::HandedOver; }
    std::uint32_t position() const { return m_position; } ///< next position to deliver
    std::uint64_t digest() const { return m_digest; } ///< rolling digest of all tokens before \c position
    /// \return all tokens before position(), or null while those before a resume point are unknown
    const token_list* deliveredTokens() const;
    token_usage usage() const { return m_usage; }
    std::uint64_t extraTokens() const { return m_usage.extraOutput + m_usage.extraPrefill; }
    bool dispatched() const { return m_unprovenDispatches > 0; } ///< whether any attempt may have run
    attempt_id currentAttempt() const; ///< empty before the first dispatch
    target_id currentTarget() const; ///< empty before the first dispatch
    const generation_request& request() const { return m_request; }

private:
    /// State of the current stall.
    struct stall_state {
        std::uint32_t round = 0;
        bool probed = false;
        std::uint32_t failedProbes = 0;
        std::optional<bool> probeAlive;
        std::optional<bool> probeHasAttempt;
        instant recheckAt;
    };

    // Event handlers.
    void on(const target_chosen& event, instant now);
    void on(const no_target& event, instant now);
    void on(const attempt_accepted& event, instant now);
    void on(const attempt_rejected& event, instant now);
    void on(const token_arrived& event, instant now);
    void on(const attempt_done& event, instant now);
    void on(const attempt_broken& event, instant now);
    void on(const probe_answered& event, instant now);
    void on(const timer_fired& event, instant now);
    void on(const target_lost& event, instant now);
    void on(const caller_gone& event, instant now);
    void on(const drain_requested& event, instant now);

    // Placing attempts (generation_attempts.cpp).
    void startFromResumePoint(const resume_point& resume, instant now);
    attempt_record makeAttempt(attempt_purpose purpose);
    attempt_purpose nextAttemptPurpose() const;
    void placeCurrent(instant now);
    void placeSecond(attempt_purpose purpose, instant now);
    void replaceSilentCurrent(instant now);
    void startReplacement(const target_chosen& event, instant now);
    void waitForTarget(attempt_record& attempt, instant now);
    bool admit(attempt_record& attempt, bool hedge, instant now);
    void requestTarget(attempt_record& attempt);
    void startOnTarget(attempt_record& attempt, const target_chosen& event, instant now);
    void recordNotRun(const attempt_record& attempt);
    void attach(instant now);
    void retire(std::optional<attempt_record>& attempt, bool cancel);
    void promoteSecond(instant now);
    void replaceCurrent(bool cancel, instant now);
    void failCurrentTarget(bool crashed, instant now);
    void handleCurrentRejected(const attempt_rejected& event, instant now);
    void handleCurrentBroken(break_reason reason, instant now);
    void handleSecondBroken(break_reason reason);
    void handleCurrentUnplaced(const no_target& event, instant now);

    // Tokens (generation_tokens.cpp).
    bool inOrder(attempt_record& attempt, const token_arrived& event);
    void handleCurrentToken(const token_arrived& event, instant now);
    void handleSecondToken(const token_arrived& event, instant now);
    void handleSecondDone(finish_reason reason, instant now);
    bool isCurrentStalled() const;
    void dropLateToken(const attempt_id& id);
    bool matchesDelivered(const attempt_record& attempt) const;
    void verifyCurrent(instant now);
    void deliver(const token& value, instant now);
    void endSuspicion();

    // Stalls and timers (generation_stall.cpp).
    void checkCurrent(instant now);
    void checkSecond(instant now);
    void applyPolicy(instant now);
    std::optional<instant> nextDue() const;
    instant suspectAt(const attempt_record& attempt) const;
    void armTimer();

    // Final actions.
    void expire();
    void handOver(error_kind kind);
    void finish(finish_reason reason, instant now);
    void failWith(error_kind kind, std::chrono::milliseconds retryAfter);
    void failUnplaced(std::chrono::milliseconds retryAfter);

    attempt_record* find(const attempt_id& id);
    template <typename Action> void emit(Action action)
    {
        m_pendingActions.emplace_back(std::in_place_type<Action>, std::move(action));
    }
    void increment(generation_counter counter) { emit(count { counter }); }
    generation_actions takeActions();
    const resume_rules& rules() const;

    generation_request m_request;
    const resume_policy& m_policy;
    resume_admission& m_admission;
    const target_pace_source& m_paces;
    generation_state m_state = generation_state::Queued;
    generation_actions m_pendingActions;

    std::uint32_t m_position = 0;
    std::uint64_t m_digest = 0;
    token_list m_tokens; ///< delivered tokens from m_firstKnownPosition on
    std::uint32_t m_firstKnownPosition = 0; ///< above 0 while tokens before a resume point are unknown
    token_usage m_usage;

    std::optional<attempt_record> m_current;
    std::optional<attempt_record> m_second; ///< hedge, duplicate, or replacement of a silent first attempt
    std::vector<retired_attempt> m_retiredAttempts;
    std::uint32_t m_nextOrdinal = 1;
    std::uint32_t m_unprovenDispatches = 0; ///< dispatches without proof that they did not run

    std::vector<target_id> m_excluded; ///< targets that failed this request
    std::vector<target_id> m_avoidedTargets; ///< full or silent targets, tried again when there is no other
    std::vector<target_id> m_crashProbes; ///< targets probed to detect whether they crashed
    std::uint32_t m_crashes = 0;
    std::uint32_t m_rejections = 0;
    std::uint32_t m_attaches = 0; ///< consecutive attaches without progress
    bool m_interrupted = false; ///< the next delivered token counts as a resumption
    instant m_interruptedAt; ///< when the last interruption was detected

    stall_state m_stall;
    std::optional<instant> m_armedTimer; ///< time of the last set_timer that has not fired
    std::optional<instant> m_handOverAt;
    bool m_draining = false;
};

} // namespace oriolepick
