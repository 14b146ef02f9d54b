// Guards against a store that nobody reads, or that all nodes read.
#include "routing/reader_schedule.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class ReaderSchedule : public testing::Test {
protected:
    reader_schedule scheduleOf(std::uint32_t self, bool readsAtStart = false)
    {
        return reader_schedule(settings, self, readsAtStart, now);
    }

    void read(reader_schedule& readerSchedule, bool done = true)
    {
        readerSchedule.readStarted(now);
        readerSchedule.readEnded(done, now);
    }

    reader_schedule_settings settings = makeReaderScheduleSettings(4s);
    instant now { 1000s };
};

TEST_F(ReaderSchedule, TwoReadersInARowMayBeLostWithinTheBound)
{
    for (const auto bound : { 1000ms, 2000ms, 4000ms, 13000ms }) {
        const auto times = makeReaderScheduleSettings(bound);
        EXPECT_LT(2 * (times.takeoverDelay + 2 * times.rankStep) + times.period, bound);
        EXPECT_LT(times.takeoverDelay + times.maxRankDelay, bound);
        EXPECT_GT(times.takeoverDelay, 2 * times.period) << "a node that misses one wave does not take over";
    }
}

TEST_F(ReaderSchedule, SeedsReadAtOnceAndOthersWait)
{
    EXPECT_EQ(scheduleOf(1, true).dueAt(), now);
    EXPECT_GE(scheduleOf(1).dueAt(), now + settings.startDelay);
    EXPECT_LT(scheduleOf(1).dueAt(), scheduleOf(4'000'000'000).dueAt())
        << "nodes that start together do not read together";
}

TEST_F(ReaderSchedule, ReaderStaysReader)
{
    auto readerSchedule = scheduleOf(5);
    readerSchedule.setRank(100, 300);
    read(readerSchedule);
    EXPECT_TRUE(readerSchedule.isReader());
    EXPECT_EQ(readerSchedule.dueAt(), now + settings.period);
}

TEST_F(ReaderSchedule, OtherNodesTakeOverInRankOrder)
{
    auto first = scheduleOf(5);
    auto second = scheduleOf(6);
    first.setRank(0, 300);
    second.setRank(1, 300);
    for (auto* readerSchedule : { &first, &second })
        readerSchedule->recordRead(now, 3);
    EXPECT_EQ(first.dueAt(), now + settings.takeoverDelay);
    EXPECT_EQ(second.dueAt(), now + settings.takeoverDelay + settings.rankStep);
    second.recordRead(now + 400ms, 3);
    EXPECT_EQ(second.dueAt(), now + 400ms + settings.takeoverDelay + settings.rankStep);
}

TEST_F(ReaderSchedule, OneOfTwoReadersStops)
{
    auto lesser = scheduleOf(5);
    auto greater = scheduleOf(9);
    read(lesser);
    read(greater);
    greater.recordRead(now - 10ms, 5);
    lesser.recordRead(now, 9);
    EXPECT_TRUE(lesser.isReader());
    EXPECT_FALSE(greater.isReader());
    EXPECT_EQ(greater.reader(), 5U);
}

TEST_F(ReaderSchedule, OldReadStopsNoReader)
{
    auto readerSchedule = scheduleOf(9);
    readerSchedule.recordRead(now - 1s, 5);
    read(readerSchedule);
    readerSchedule.recordRead(now - 1s, 5);
    EXPECT_TRUE(readerSchedule.isReader());
}

TEST_F(ReaderSchedule, RejectedNodeBacksOffAndOthersTry)
{
    auto readerSchedule = scheduleOf(5);
    readerSchedule.setRank(0, 300);
    instant::duration last {};
    for (int failure = 0; failure < 8; ++failure) {
        read(readerSchedule, false);
        EXPECT_FALSE(readerSchedule.isReader());
        EXPECT_GE(readerSchedule.dueAt() - now, last);
        last = readerSchedule.dueAt() - now;
        now = readerSchedule.dueAt();
    }
    EXPECT_EQ(last, settings.maxRetryDelay);
    auto other = scheduleOf(6);
    other.setRank(1, 300);
    other.recordRead(now - 1s, 3);
    other.recordFailedAttempt(now);
    EXPECT_EQ(other.dueAt(), now + settings.nextAttemptDelay + settings.rankStep) << "the next in line asks soon";
    read(readerSchedule, false);
    EXPECT_GE(readerSchedule.dueAt(), other.dueAt()) << "before the one that was turned away";
    for (int attempt = 0; attempt < 8; ++attempt)
        other.recordFailedAttempt(now += 200ms);
    EXPECT_EQ(other.dueAt(), now + settings.takeoverDelay + settings.rankStep)
        << "a store that is away is asked by few";
    other.recordRead(now + 10ms, 3);
    other.recordFailedAttempt(now + 5ms);
    EXPECT_EQ(other.dueAt(), now + 10ms + settings.takeoverDelay + settings.rankStep) << "an attempt before a reading";
}

TEST_F(ReaderSchedule, SingleNodeRetriesOften)
{
    auto readerSchedule = scheduleOf(5);
    readerSchedule.setRank(0, 1);
    for (int failure = 0; failure < 8; ++failure)
        read(readerSchedule, false);
    EXPECT_LE(readerSchedule.dueAt() - now, std::max<instant::duration>(2 * settings.period, settings.takeoverDelay));
}

TEST_F(ReaderSchedule, IsolatedNodeReadsLessOften)
{
    auto readerSchedule = scheduleOf(5);
    read(readerSchedule);
    readerSchedule.setIsolated(true);
    EXPECT_EQ(readerSchedule.dueAt(), now + settings.isolatedPeriod);
}

} // namespace
