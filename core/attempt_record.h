/// \file
/// State that a generation keeps for each of its attempts.
#pragma once

#include "core/generation_actions.h"
#include "core/instant.h"
#include "core/names.h"
#include "core/stall_detector.h"
#include "core/token.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace oriolepick {

/// Progress of an attempt.
enum class attempt_phase {
    Waiting, ///< must not start before \c due
    Choosing, ///< choose_target was emitted and has no response yet
    Starting, ///< sent to its target, not accepted yet
    Attaching, ///< attach sent, not accepted yet
    Running, ///< accepted by its target
};

/// An attempt whose stream is read or being set up.
struct attempt_record {
    explicit attempt_record(const stall_settings& settings)
        : detector(settings)
    {
    }

    /// \return whether the target may be running the attempt
    bool onTarget() const { return phase >= attempt_phase::Starting; }

    attempt_id id;
    target_id target;
    attempt_purpose purpose = attempt_purpose::Start;
    attempt_phase phase = attempt_phase::Choosing;
    std::uint32_t nextPosition = 0; ///< position of the next token that its stream must produce
    /// Its tokens before the delivered position have not been compared with the delivered ones yet.
    bool unverified = false;
    bool choiceRetried = false; ///< a second choice was requested because the first returned the other attempt's target
    bool accepted = false; ///< its target confirmed it
    bool replacesFirst = false; ///< the first attempt, which is silent, is given up once this one has a target
    std::optional<finish_reason> pendingFinish; ///< end of the response, kept while unverified
    std::uint32_t extraPrefill = 0; ///< prompt and prefix tokens of this attempt counted as repeated work
    bool reportedLost = false; ///< a peer reported its target as lost
    std::vector<token> buffered; ///< tokens from position 0 while unverified
    instant due; ///< end of the wait, timeout of the attach, or time before which a second attempt is not checked
    stall_detector detector;
};

/// An attempt whose stream is no longer read.
struct retired_attempt {
    attempt_id id;
    target_id target;
    bool cancelRepeated = false; ///< the cancel was repeated after a late token
};

} // namespace oriolepick
