// Guards against a store that no node reads, or that all nodes read.
#include "routing/reader_turn.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class ReaderTurn : public testing::Test {
protected:
    reader_turn turnOf(std::uint32_t self, bool readsFirst = false)
    {
        return reader_turn(settings, self, readsFirst, now);
    }

    void read(reader_turn& turn, bool done = true)
    {
        turn.readingStarted(now);
        turn.readingEnded(done, now);
    }

    reader_turn_settings settings = makeReaderTurnSettings(4s);
    instant now { 1000s };
};

TEST_F(ReaderTurn, TwoReadersInARowMayBeLostWithinTheBound)
{
    for (const auto bound : { 1000ms, 2000ms, 4000ms, 13000ms }) {
        const auto times = makeReaderTurnSettings(bound);
        EXPECT_LT(2 * (times.takeover + 2 * times.rankStep) + times.period, bound);
        EXPECT_LT(times.takeover + times.longestRankDelay, bound);
        EXPECT_GT(times.takeover, 2 * times.period) << "a node that misses one wave does not take over";
    }
}

TEST_F(ReaderTurn, SeedsReadAtOnceAndOthersWaitForTheirNews)
{
    EXPECT_EQ(turnOf(1, true).dueAt(), now);
    EXPECT_GE(turnOf(1).dueAt(), now + settings.startDelay);
    EXPECT_LT(turnOf(1).dueAt(), turnOf(4'000'000'000).dueAt())
        << "nodes that start at the same time do not read at the same time";
}

TEST_F(ReaderTurn, TheNodeThatReadGoesOn)
{
    auto turn = turnOf(5);
    turn.setRank(100, 300);
    read(turn);
    EXPECT_TRUE(turn.isReader());
    EXPECT_EQ(turn.dueAt(), now + settings.period);
}

TEST_F(ReaderTurn, OthersTakeOverInTheOrderOfTheirRanks)
{
    auto first = turnOf(5);
    auto second = turnOf(6);
    first.setRank(0, 300);
    second.setRank(1, 300);
    for (auto* turn : { &first, &second })
        turn->heardReading(now, 3);
    EXPECT_EQ(first.dueAt(), now + settings.takeover);
    EXPECT_EQ(second.dueAt(), now + settings.takeover + settings.rankStep);
    second.heardReading(now + 400ms, 3);
    EXPECT_EQ(second.dueAt(), now + 400ms + settings.takeover + settings.rankStep);
}

TEST_F(ReaderTurn, OfTwoReadersOneStops)
{
    auto lesser = turnOf(5);
    auto greater = turnOf(9);
    read(lesser);
    read(greater);
    greater.heardReading(now - 10ms, 5);
    lesser.heardReading(now, 9);
    EXPECT_TRUE(lesser.isReader());
    EXPECT_FALSE(greater.isReader());
    EXPECT_EQ(greater.reader(), 5U);
}

TEST_F(ReaderTurn, AReadingOfLongAgoStopsNobody)
{
    auto turn = turnOf(9);
    turn.heardReading(now - 1s, 5);
    read(turn);
    turn.heardReading(now - 1s, 5);
    EXPECT_TRUE(turn.isReader());
}

TEST_F(ReaderTurn, ANodeThatIsTurnedAwayLeavesItToOthersAndTriesLessOften)
{
    auto turn = turnOf(5);
    turn.setRank(0, 300);
    instant::duration last {};
    for (int failure = 0; failure < 8; ++failure) {
        read(turn, false);
        EXPECT_FALSE(turn.isReader());
        EXPECT_GE(turn.dueAt() - now, last);
        last = turn.dueAt() - now;
        now = turn.dueAt();
    }
    EXPECT_EQ(last, settings.longestRetry);
    auto other = turnOf(6);
    other.setRank(1, 300);
    other.heardReading(now - 1s, 3);
    other.heardAttempt(now);
    EXPECT_EQ(other.dueAt(), now + settings.nextAttempt + settings.rankStep)
        << "the node with the next rank reads soon";
    read(turn, false);
    EXPECT_GE(turn.dueAt(), other.dueAt()) << "before the rejected node";
    for (int attempt = 0; attempt < 8; ++attempt)
        other.heardAttempt(now += 200ms);
    EXPECT_EQ(other.dueAt(), now + settings.takeover + settings.rankStep) << "an unavailable store is queried by few";
    other.heardReading(now + 10ms, 3);
    other.heardAttempt(now + 5ms);
    EXPECT_EQ(other.dueAt(), now + 10ms + settings.takeover + settings.rankStep)
        << "an attempt before a read is ignored";
}

TEST_F(ReaderTurn, ASingleNodeTriesOften)
{
    auto turn = turnOf(5);
    turn.setRank(0, 1);
    for (int failure = 0; failure < 8; ++failure)
        read(turn, false);
    EXPECT_LE(turn.dueAt() - now, std::max<instant::duration>(2 * settings.period, settings.takeover));
}

TEST_F(ReaderTurn, ANodeThatIsCutOffReadsLessOften)
{
    auto turn = turnOf(5);
    read(turn);
    turn.setLonely(true);
    EXPECT_EQ(turn.dueAt(), now + settings.lonelyPeriod);
}

} // namespace
