/// \file
/// One attempt of a generation as the generation tracks it.
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

/// How far an attempt has come.
enum class attempt_phase {
    Waiting, ///< may not start before its time
    Choosing, ///< choose_target is unanswered
    Starting, ///< sent to its target, no answer yet
    Attaching, ///< attach sent, no answer yet
    Running, ///< accepted by its target
};

/// A live attempt.
struct attempt_record {
    explicit attempt_record(const stall_settings& settings)
        : detector(settings)
    {
    }

    /// \return whether the target may be working on the attempt
    bool onTarget() const { return phase >= attempt_phase::Starting; }

    attempt_id id;
    target_id target;
    attempt_purpose purpose = attempt_purpose::Start;
    attempt_phase phase = attempt_phase::Choosing;
    std::uint32_t nextPosition = 0; ///< position that its stream must produce next
    bool unverified = false; ///< its tokens before the delivered position are not compared yet
    bool choiceRetried = false; ///< a second choice was asked for, because the first fell on the other attempt's target
    bool accepted = false; ///< its target confirmed it
    std::optional<finish_reason> pendingFinish; ///< its engine's end, while unverified
    std::uint32_t extraPrefill = 0; ///< prompt and prefix tokens counted as repeated work for it
    bool reportedLost = false; ///< a peer reported its target as lost
    std::vector<token> buffered; ///< tokens from position 0 while unverified
    instant due; ///< when waiting ends, when the attach times out, or before which a second attempt is not checked
    stall_detector detector;
};

/// An attempt that is no longer read.
struct retired_attempt {
    attempt_id id;
    target_id target;
    bool cancelRepeated = false; ///< a late token already caused another cancel
};

} // namespace oriolepick
