// Guards against work that runs twice, and against refusals that promise too much.
#include "routing/attempt_policy.h"

#include <gtest/gtest.h>

using namespace oriolepick;

namespace {

attempt_history historyOf(bool mayRepeat, std::uint32_t maxTargets, std::uint32_t answered, std::uint32_t lost)
{
    attempt_history history;
    history.mayRepeat = mayRepeat;
    history.maxTargets = maxTargets;
    history.answered = answered;
    history.lost = lost;
    return history;
}

TEST(AttemptPolicy, AnUnsentRequestGoesOnInAnyCase)
{
    EXPECT_EQ(nextStep(historyOf(false, 1, 0, 0), attempt_end::NotSent), next_step::TryAnother);
    EXPECT_EQ(nextStep(historyOf(true, 2, 0, 0), attempt_end::NotSent), next_step::TryAnother);
}

TEST(AttemptPolicy, ARequestThatRunsOnceIsNotRepeatedAfterALoss)
{
    EXPECT_EQ(nextStep(historyOf(false, 5, 0, 1), attempt_end::Lost), next_step::GiveUp);
    EXPECT_EQ(nextStep(historyOf(false, 5, 1, 0), attempt_end::TargetError), next_step::Deliver);
}

TEST(AttemptPolicy, AProvenRefusalIsTriedElsewhereWithinTheRoutesTargets)
{
    EXPECT_EQ(nextStep(historyOf(false, 2, 1, 0), attempt_end::NotRun), next_step::TryAnotherWithin);
    EXPECT_EQ(nextStep(historyOf(false, 1, 1, 0), attempt_end::NotRun), next_step::GiveUp);
}

TEST(AttemptPolicy, ARepeatableRequestIsRepeatedUpToTheRoutesTargets)
{
    EXPECT_EQ(nextStep(historyOf(true, 2, 1, 0), attempt_end::TargetError), next_step::TryAnotherWithin);
    EXPECT_EQ(nextStep(historyOf(true, 2, 2, 0), attempt_end::TargetError), next_step::Deliver);
    EXPECT_EQ(nextStep(historyOf(true, 2, 0, 1), attempt_end::Lost), next_step::TryAnotherWithin);
}

TEST(AttemptPolicy, ARequestUnderWhichTargetsKeepCrashingStops)
{
    EXPECT_EQ(nextStep(historyOf(true, 9, 0, MaxLostTargets), attempt_end::Lost), next_step::GiveUp);
}

TEST(AttemptPolicy, OnlyARequestThatCannotHaveRunIsRefusedAsNotRun)
{
    auto history = historyOf(true, 2, 0, 0);
    EXPECT_EQ(errorResponseFor(giveUpKind(history)).run, run_state::NotRun);
    EXPECT_EQ(errorResponseFor(giveUpKind(history)).status, 503);
    history.mayHaveRun = true;
    EXPECT_EQ(errorResponseFor(giveUpKind(history)).run, run_state::MayHaveRun);
    EXPECT_EQ(errorResponseFor(giveUpKind(history)).status, 502);
}

} // namespace
