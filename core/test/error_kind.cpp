// Guards the table from error kind to answer: every kind has one row, and no code word stands twice.
#include "core/error_kind.h"

#include <gtest/gtest.h>

#include <set>

using namespace oriolepick;

TEST(error_kind, every_kind_has_its_own_row_and_code)
{
    std::set<std::string_view> codes;
    for (int index = 0; index <= static_cast<int>(error_kind::Internal); ++index) {
        const auto kind = static_cast<error_kind>(index);
        const auto& answer = errorResponseFor(kind);
        EXPECT_EQ(answer.kind, kind);
        EXPECT_GE(answer.status, 400);
        EXPECT_TRUE(codes.insert(answer.code).second) << answer.code;
    }
}

TEST(error_kind, kinds_after_a_dispatch_never_say_not_run)
{
    for (const auto kind : { error_kind::TargetFailed, error_kind::OutcomeUnknown, error_kind::DeadlineExceeded,
             error_kind::GenerationLost, error_kind::ClaimUnavailable, error_kind::PlatformUnknown })
        EXPECT_EQ(errorResponseFor(kind).run, run_state::MayHaveRun) << errorResponseFor(kind).code;
}
