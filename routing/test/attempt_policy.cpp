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

TEST(AttemptPolicy, UnsentRequestIsAlwaysRetried)
{
    EXPECT_EQ(decideRetry(historyOf(false, 1, 0, 0), attempt_outcome::NotSent), retry_decision::Retry);
    EXPECT_EQ(decideRetry(historyOf(true, 2, 0, 0), attempt_outcome::NotSent), retry_decision::Retry);
}

TEST(AttemptPolicy, RunsOnceRequestIsNotRetriedAfterALoss)
{
    EXPECT_EQ(decideRetry(historyOf(false, 5, 0, 1), attempt_outcome::Lost), retry_decision::Fail);
    EXPECT_EQ(decideRetry(historyOf(false, 5, 1, 0), attempt_outcome::TargetError), retry_decision::Deliver);
}

TEST(AttemptPolicy, RefusalIsRetriedWithinTheTargetLimit)
{
    EXPECT_EQ(decideRetry(historyOf(false, 2, 1, 0), attempt_outcome::NotRun), retry_decision::RetryWithinBudget);
    EXPECT_EQ(decideRetry(historyOf(false, 1, 1, 0), attempt_outcome::NotRun), retry_decision::Fail);
}

TEST(AttemptPolicy, RepeatableRequestIsRetriedWithinTheTargetLimit)
{
    EXPECT_EQ(decideRetry(historyOf(true, 2, 1, 0), attempt_outcome::TargetError), retry_decision::RetryWithinBudget);
    EXPECT_EQ(decideRetry(historyOf(true, 2, 2, 0), attempt_outcome::TargetError), retry_decision::Deliver);
    EXPECT_EQ(decideRetry(historyOf(true, 2, 0, 1), attempt_outcome::Lost), retry_decision::RetryWithinBudget);
}

TEST(AttemptPolicy, RequestFailsAfterTooManyLostTargets)
{
    EXPECT_EQ(decideRetry(historyOf(true, 9, 0, MaxLostTargets), attempt_outcome::Lost), retry_decision::Fail);
}

TEST(AttemptPolicy, OnlyARequestThatCannotHaveRunIsReportedAsNotRun)
{
    auto history = historyOf(true, 2, 0, 0);
    EXPECT_EQ(errorResponseFor(finalErrorKind(history)).run, run_state::NotRun);
    EXPECT_EQ(errorResponseFor(finalErrorKind(history)).status, 503);
    history.mayHaveRun = true;
    EXPECT_EQ(errorResponseFor(finalErrorKind(history)).run, run_state::MayHaveRun);
    EXPECT_EQ(errorResponseFor(finalErrorKind(history)).status, 502);
}

} // namespace
