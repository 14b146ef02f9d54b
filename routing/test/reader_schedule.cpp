// Guards against a store that no node reads, or that all nodes read.
#include "routing/reader_schedule.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class ReaderSchedule : public testing::Test {
protected:
    reader_schedule scheduleOf(std::uint32_t self, bool readsAtStart = false)
    {
        return reader_schedule(settings, self, readsAtStart, now);
    }

    void read(reader_schedule& readerSchedule, bool done = true) { readerSchedule.readEnded(done, now, false, now); }

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
        << "nodes that start at the same time do not read at the same time";
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
        EXPECT_GE(readerSchedule.retryAt() - now, last);
        last = readerSchedule.retryAt() - now;
        now = readerSchedule.dueAt();
    }
    EXPECT_EQ(last, settings.maxRetryDelay);
    auto other = scheduleOf(6);
    other.setRank(1, 300);
    other.recordRead(now - 1s, 3);
    other.recordFailedAttempt(now);
    EXPECT_EQ(other.dueAt(), now + settings.nextAttemptDelay + settings.rankStep)
        << "the node with the next rank reads soon";
    read(readerSchedule, false);
    EXPECT_GE(readerSchedule.dueAt(), other.dueAt()) << "before the rejected node";
    other.recordRead(now + 10ms, 3);
    other.recordFailedAttempt(now + 5ms);
    EXPECT_EQ(other.dueAt(), now + 10ms + settings.takeoverDelay + settings.rankStep)
        << "an attempt before a read is ignored";
}

// Guards against a store that is queried by many nodes while it is unavailable, and against one that serves only some
// nodes, none of which ever has its turn.
TEST_F(ReaderSchedule, FewNodesQueryAnUnavailableStoreAndEachHasItsTurn)
{
    constexpr std::uint32_t Nodes = 300;
    constexpr int Attempts = 3'000;
    constexpr auto NoticeTime = 200ms; // until the other nodes receive the notice of a slow read
    std::vector<reader_schedule> schedules;
    for (std::uint32_t rank = 0; rank < Nodes; ++rank) {
        schedules.push_back(scheduleOf(rank * 7'919));
        schedules.back().setRank(rank, Nodes);
        schedules.back().recordRead(now, 1);
    }
    std::set<std::size_t> tried;
    std::size_t reads = 0;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        auto first = instant::max();
        for (const auto& schedule : schedules)
            first = std::min(first, schedule.dueAt());
        EXPECT_LE(first, now + settings.takeoverDelay + settings.maxRankDelay);
        const auto begin = std::max(first, now);
        now = begin + NoticeTime;
        for (std::size_t index = 0; index < schedules.size(); ++index) {
            if (const auto due = schedules[index].dueAt(); due < now) {
                ++reads;
                tried.insert(index);
                schedules[index].markReadSlow(due, due + 150ms);
            }
        }
        for (auto& schedule : schedules)
            schedule.recordFailedAttempt(now);
    }
    EXPECT_EQ(tried.size(), Nodes);
    EXPECT_LE(reads, 10 * Attempts) << "an unavailable store is queried by few";
}

// Guards against a view that is late because the store was away for long, or often, before.
TEST_F(ReaderSchedule, TheNextReadIsDueAsSoonAfterManyFailuresAsAfterOne)
{
    for (const std::size_t nodes : { 1, 2, 6, 9, 40, 370 }) {
        auto readerSchedule = scheduleOf(5);
        readerSchedule.setRank(0, nodes);
        read(readerSchedule);
        for (int failure = 0; failure < 50; ++failure) {
            const auto startedAt = now;
            readerSchedule.markReadSlow(startedAt, now += 150ms);
            EXPECT_LE(readerSchedule.retryAt(), now + settings.maxRetryDelay);
            now = readerSchedule.dueAt();
            readerSchedule.readEnded(false, startedAt, true, now);
            EXPECT_LE(readerSchedule.dueAt(), now) << "the end of a lost read delays nothing";
        }
        EXPECT_LE(settings.maxRetryDelay, 4s / 4);
    }
}

// Guards against a node that gives up reading because an old read, which a later one has overtaken, fails at last.
TEST_F(ReaderSchedule, AnOvertakenReadThatFailsChangesNothing)
{
    auto readerSchedule = scheduleOf(5);
    const auto lost = now;
    readerSchedule.markReadSlow(lost, now += 150ms);
    read(readerSchedule);
    const auto due = readerSchedule.dueAt();
    readerSchedule.readEnded(false, lost, true, now += 3s);
    EXPECT_TRUE(readerSchedule.isReader());
    EXPECT_EQ(readerSchedule.dueAt(), due);
    EXPECT_FALSE(readerSchedule.lastFailedAttempt());
}

// Guards against two readers, one of which the store does not respond to.
TEST_F(ReaderSchedule, AReaderWithoutResponseStopsWhenAnotherNodeIsAnswered)
{
    auto readerSchedule = scheduleOf(5);
    read(readerSchedule);
    const auto lost = now += 500ms;
    readerSchedule.markReadSlow(lost, now += 150ms);
    readerSchedule.recordRead(now, 9);
    EXPECT_FALSE(readerSchedule.isReader());
    EXPECT_EQ(readerSchedule.reader(), 9U);
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
