/// \file
/// Decides whether a request is retried after an attempt that produced no deliverable response.
#pragma once

#include "core/error_kind.h"

#include <cstdint>

namespace oriolepick {

/// Outcome of an attempt.
enum class attempt_outcome {
    NotSent, ///< the connection failed, so no target received the request
    NotRun, ///< the target reports that it did not run the request
    Lost, ///< the connection broke, timed out or carried an invalid response
    TargetError, ///< a complete response that reports a failure of the target
};

/// State of a request after its attempts so far.
struct attempt_history {
    bool mayRepeat = false; ///< the request may run again after an incomplete run
    std::uint32_t maxTargets = 1; ///< upper bound on the targets that receive the request
    std::uint32_t answered = 0; ///< targets that received the request and responded
    std::uint32_t lost = 0; ///< targets that received the request and were lost
    bool mayHaveRun = false; ///< a target may have run the request or may still be running it
};

/// What happens to a request after an attempt.
enum class retry_decision {
    Retry, ///< send the request to another target, free of charge to the retry budget
    RetryWithinBudget, ///< send the request to another target if the retry budget permits
    Deliver, ///< return the target's own response
    Fail, ///< return the error finalErrorKind()
};

/// Lost targets after which a request is suspected of crashing them and is not retried.
constexpr std::uint32_t MaxLostTargets = 4;

/// \return the decision after an attempt that ended with \p end; \p history includes that attempt
retry_decision decideRetry(const attempt_history& history, attempt_outcome end);

/// \return whether callers take a response with \p status for the promise that their request did not run and never will
bool promisesNotRun(int status);

/// \return the error for a failed request: it reports "not run" only if no target can have run the request
error_kind finalErrorKind(const attempt_history& history);

} // namespace oriolepick
