/// \file
/// Life cycle of one streamed generation as a pure state machine.
#pragma once

#include "core/generation_actions.h"
#include "core/generation_events.h"
#include "core/generation_request.h"
#include "core/instant.h"
#include "core/stall_detector.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace oriolepick {

class resume_admission;
class resume_policy;
struct attempt_record;

/// States of a generation. The last three are final.
enum class generation_state {
    Queued, ///< created, not started
    Placing, ///< the first attempt is being placed, or waits for its first token
    Streaming, ///< tokens arrive from the current attempt
    Suspect, ///< the current attempt stalls
    Resuming, ///< the current attempt is lost, another one is being set up
    HandedOver, ///< another node or reader continues the stream
    Finished, ///< ended after a dispatch or complete
    Refused, ///< ended before any dispatch
};

/// \return the state's name, for traces
std::string_view toString(generation_state state);

/// Work that a generation caused.
struct token_usage {
    std::uint64_t delivered = 0; ///< tokens delivered to the caller
    std::uint64_t extraOutput = 0; ///< output tokens received but not delivered: dropped, replayed or of a lost hedge
    std::uint64_t extraPrefill = 0; ///< prompt and prefix tokens sent again with attempts beyond the first
};

/// One streamed generation. Exactly one final action (complete or fail) is emitted after start.
class generation {
public:
    /// \param request what to generate
    /// \param policy strategy for stalls and breaks, outlives this object
    /// \param admission budget for attempts beyond the first, outlives this object
    /// \param paces pace of targets over all streams, outlives this object
    generation(
        generation_request request, const resume_policy& policy, resume_admission& admission, const pace_source& paces);
    ~generation();
    generation(const generation&) = delete;
    generation& operator=(const generation&) = delete;

    /// Starts the generation; called once.
    /// \return the actions to execute in order
    generation_actions start(instant now);

    /// Handles one event. Events after the end, of unknown attempts or out of order are harmless.
    /// \return the actions to execute in order
    generation_actions handle(const generation_event& event, instant now);

    generation_state state() const { return m_state; }
    bool ended() const { return m_state >= generation_state::HandedOver; }
    std::uint32_t position() const { return m_position; } ///< next position to deliver
    std::uint64_t digest() const { return m_digest; } ///< rolling digest of all tokens before \c position
    /// \return all tokens before position(), or nothing while those before a resume point are not known
    const token_list* deliveredTokens() const;
    token_usage usage() const { return m_usage; }
    std::uint64_t extraTokens() const { return m_usage.extraOutput + m_usage.extraPrefill; }
    bool dispatched() const { return m_dispatched; } ///< whether any attempt may have run
    attempt_id currentAttempt() const; ///< empty before the first dispatch
    target_id currentTarget() const; ///< empty before the first dispatch
    const generation_request& request() const { return m_request; }

private:
    generation_request m_request;
    const resume_policy& m_policy;
    resume_admission& m_admission;
    const pace_source& m_paces;
    generation_state m_state = generation_state::Queued;
    std::uint32_t m_position = 0;
    std::uint64_t m_digest = 0;
    token_usage m_usage;
    bool m_dispatched = false;
    std::vector<attempt_record> m_attempts;
};

} // namespace oriolepick
