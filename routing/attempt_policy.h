/// \file
/// What to do after an attempt at a target ended without an answer that can be delivered.
#pragma once

#include "core/error_kind.h"

#include <cstdint>

namespace oriolepick {

/// How an attempt ended.
enum class attempt_outcome {
    NotSent, ///< no connection: no target has seen the request
    NotRun, ///< the target says that it did not run the request
    Lost, ///< the connection broke, went silent or carried bytes that are no answer
    TargetError, ///< a whole answer that reports a failure of the target
};

/// One request so far.
struct attempt_history {
    bool mayRepeat = false; ///< the request may run again after a run that did not finish
    std::uint32_t maxTargets = 1; ///< targets that the request may be sent to
    std::uint32_t answered = 0; ///< targets that were sent the request and did answer
    std::uint32_t lost = 0; ///< targets that were sent the request and were lost
    bool mayHaveRun = false; ///< some target may have run or may be running it
};

/// The next step of a request.
enum class retry_decision {
    Retry, ///< send to another target, without an allowance
    RetryWithinBudget, ///< send to another target if the allowance for repeats permits it
    Deliver, ///< the target's own answer is the final one
    Fail, ///< answer with finalErrorKind()
};

/// Targets that may be lost under one request before it is suspected to crash them.
constexpr std::uint32_t MaxLostTargets = 4;

/// \return the step after an attempt that ended with \p end; \p history includes that attempt
retry_decision decideRetry(const attempt_history& history, attempt_outcome end);

/// \return the error of a request that is given up: it promises that nothing ran only where that is so
error_kind finalErrorKind(const attempt_history& history);

} // namespace oriolepick
