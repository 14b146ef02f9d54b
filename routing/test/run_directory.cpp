// Guards against streams that go on from another request's memory, and against records that are kept for ever.
#include "routing/run_directory.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

run_record record(std::uint64_t requestHash, const std::string& attempt, bool resumed = false)
{
    return { { requestHash, requestHash }, node_id("10.0.0.1:1"), attempt, target_name("holder-of-" + attempt),
        { "10.0.0.2:2", attempt }, resumed };
}

class RunDirectory : public testing::Test {
protected:
    std::string foundAttempt(std::uint64_t requestHash)
    {
        const auto known = records.find({ requestHash, requestHash }, now);
        return known ? known->attempt : "";
    }

    run_directory records { run_directory_settings {} };
    instant now { 1000s };
};

TEST_F(RunDirectory, NewestCopyOfARunIsFound)
{
    records.put(record(1, "a"), now);
    auto moved = record(1, "a");
    moved.holder = target_name("other");
    records.put(moved, now);
    EXPECT_EQ(records.find({ 1, 1 }, now)->holder.value(), "other");
    EXPECT_EQ(foundAttempt(2), "");
}

TEST_F(RunDirectory, ConcurrentRunsOfEqualRequestsAreAmbiguous)
{
    records.put(record(1, "a"), now);
    records.put(record(1, "b"), now);
    EXPECT_EQ(foundAttempt(1), "");
    records.put(record(1, "a"), now);
    EXPECT_EQ(foundAttempt(1), "") << "a new copy of one of them does not tell them apart";
}

TEST_F(RunDirectory, ResumedRunReplacesThePreviousOne)
{
    records.put(record(1, "a"), now);
    records.put(record(1, "b", true), now);
    EXPECT_EQ(foundAttempt(1), "b");
}

TEST_F(RunDirectory, ExpiredRecordsAreRemoved)
{
    records.put(record(1, "a"), now);
    now += 61s;
    EXPECT_EQ(foundAttempt(1), "");
    records.put(record(2, "b"), now);
    EXPECT_EQ(records.size(), 1U);
}

TEST_F(RunDirectory, FullTableEvictsTheOldest)
{
    run_directory_settings settings;
    settings.capacity = 10;
    run_directory few(settings);
    for (std::uint64_t requestHash = 0; requestHash < 100; ++requestHash) {
        now += 1ms;
        few.put(record(requestHash, "a"), now);
    }
    EXPECT_EQ(few.size(), 10U);
    EXPECT_TRUE(few.find({ 99, 99 }, now));
    EXPECT_FALSE(few.find({ 50, 50 }, now));
}

} // namespace
