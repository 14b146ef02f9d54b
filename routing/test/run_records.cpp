// Guards against streams that resume from the memory of another request, and against records that are never removed.
#include "routing/run_records.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

run_record record(std::uint64_t print, const std::string& attempt, bool resumed = false)
{
    return { { print, print }, node_id("10.0.0.1:1"), attempt, target_name("holder-of-" + attempt),
        { "10.0.0.2:2", attempt }, resumed };
}

class RunRecords : public testing::Test {
protected:
    std::string found(std::uint64_t print)
    {
        const auto known = records.find({ print, print }, now);
        return known ? known->attempt : "";
    }

    run_records records { run_records_settings {} };
    instant now { 1000s };
};

TEST_F(RunRecords, TheNewestCopyOfARunIsFound)
{
    records.put(record(1, "a"), now);
    auto moved = record(1, "a");
    moved.holder = target_name("other");
    records.put(moved, now);
    EXPECT_EQ(records.find({ 1, 1 }, now)->holder.value(), "other");
    EXPECT_EQ(found(2), "");
}

TEST_F(RunRecords, TwoRunsOfEqualRequestsAreNotTakenForEachOther)
{
    records.put(record(1, "a"), now);
    records.put(record(1, "b"), now);
    EXPECT_EQ(found(1), "");
    records.put(record(1, "a"), now);
    EXPECT_EQ(found(1), "") << "a new copy of one of the runs does not make them distinguishable";
}

TEST_F(RunRecords, ARunThatGoesOnReplacesTheOneBefore)
{
    records.put(record(1, "a"), now);
    records.put(record(1, "b", true), now);
    EXPECT_EQ(found(1), "b");
}

TEST_F(RunRecords, OldRecordsAreForgotten)
{
    records.put(record(1, "a"), now);
    now += 61s;
    EXPECT_EQ(found(1), "");
    records.put(record(2, "b"), now);
    EXPECT_EQ(records.size(), 1U);
}

TEST_F(RunRecords, AFullTableForgetsTheOldest)
{
    run_records_settings settings;
    settings.capacity = 10;
    run_records few(settings);
    for (std::uint64_t print = 0; print < 100; ++print) {
        now += 1ms;
        few.put(record(print, "a"), now);
    }
    EXPECT_EQ(few.size(), 10U);
    EXPECT_TRUE(few.find({ 99, 99 }, now));
    EXPECT_FALSE(few.find({ 50, 50 }, now));
}

} // namespace
