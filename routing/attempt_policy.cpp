#include "routing/attempt_policy.h"

#include <algorithm>
#include <array>

namespace oriolepick {

namespace {

    constexpr std::array<int, 4> NotRunStatuses { 408, 421, 429, 503 };

} // namespace

bool promisesNotRun(int status)
{
    return std::find(NotRunStatuses.begin(), NotRunStatuses.end(), status) != NotRunStatuses.end();
}

retry_decision decideRetry(const attempt_history& history, attempt_outcome end)
{
    const bool hasTargetsLeft = history.answered < history.maxTargets && history.lost < MaxLostTargets;
    switch (end) {
    case attempt_outcome::NotSent:
        return retry_decision::Retry;
    case attempt_outcome::NotRun:
        return hasTargetsLeft ? retry_decision::RetryWithinBudget : retry_decision::Fail;
    case attempt_outcome::Lost:
        return history.mayRepeat && hasTargetsLeft ? retry_decision::RetryWithinBudget : retry_decision::Fail;
    case attempt_outcome::TargetError:
        return history.mayRepeat && hasTargetsLeft ? retry_decision::RetryWithinBudget : retry_decision::Deliver;
    }
    return retry_decision::Fail;
}

error_kind finalErrorKind(const attempt_history& history)
{
    return history.mayHaveRun ? error_kind::TargetFailed : error_kind::Overloaded;
}

} // namespace oriolepick
