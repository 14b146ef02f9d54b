#include "routing/attempt_policy.h"

namespace oriolepick {

next_step nextStep(const attempt_history& history, attempt_end end)
{
    const bool targetsLeft = history.answered < history.maxTargets && history.lost < MaxLostTargets;
    switch (end) {
    case attempt_end::NotSent:
        return next_step::TryAnother;
    case attempt_end::NotRun:
        return targetsLeft ? next_step::TryAnotherWithin : next_step::GiveUp;
    case attempt_end::Lost:
        return history.mayRepeat && targetsLeft ? next_step::TryAnotherWithin : next_step::GiveUp;
    case attempt_end::TargetError:
        return history.mayRepeat && targetsLeft ? next_step::TryAnotherWithin : next_step::Deliver;
    }
    return next_step::GiveUp;
}

error_kind giveUpKind(const attempt_history& history)
{
    return history.mayHaveRun ? error_kind::TargetFailed : error_kind::Overloaded;
}

} // namespace oriolepick
