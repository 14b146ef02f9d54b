// Guards against crashes that are not recorded, and against calls of the store without need.
#include "routing/crash_record_keeper.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

using step = crash_record_keeper::step;

constexpr crash_record_digest Nothing {};
constexpr crash_record_digest Suspicion { 1, 0 };
constexpr crash_record_digest Quarantine { 3, 2 };

class CrashRecordKeeper : public testing::Test {
protected:
    step next(const crash_record_digest& own, bool isKeeper = true) { return keeper.next(isKeeper, own, now); }

    // Reads a record with \p revision, which holds \p read.
    void read(std::uint64_t revision, const crash_record_digest& read)
    {
        ASSERT_EQ(next(Nothing), step::Read);
        keeper.readEnded(revision, read, now);
    }

    crash_record_settings settings;
    crash_record_keeper keeper { settings };
    instant now { 1'000s };
};

TEST_F(CrashRecordKeeper, ReadsOnceAndWritesWhatIsMissing)
{
    read(0, Nothing);
    EXPECT_EQ(next(Nothing), step::None);
    EXPECT_EQ(next(Quarantine), step::Write);
    EXPECT_EQ(keeper.expectedRevision(), 0U);
    EXPECT_EQ(next(Quarantine), step::None) << "the write is in progress";
    keeper.writeEnded(record_write_outcome::Written, 7, now);
    EXPECT_EQ(next(Quarantine), step::None);
    EXPECT_EQ(next(Nothing), step::Write) << "cleared";
    EXPECT_EQ(keeper.expectedRevision(), 7U);
}

TEST_F(CrashRecordKeeper, OtherNodesDoNothing)
{
    EXPECT_EQ(next(Quarantine, false), step::None);
    read(7, Nothing);
    EXPECT_EQ(next(Quarantine, false), step::None);
    EXPECT_EQ(next(Quarantine), step::Read) << "another node may have written meanwhile";
}

TEST_F(CrashRecordKeeper, SuspicionsAreWrittenNowAndThen)
{
    read(7, Nothing);
    EXPECT_EQ(next(Suspicion), step::Write);
    keeper.writeEnded(record_write_outcome::Written, 8, now);
    now += settings.suspicionInterval - 1ms;
    EXPECT_EQ(next(Nothing), step::None);
    EXPECT_EQ(next(Quarantine), step::Write) << "a quarantine does not wait";
    keeper.writeEnded(record_write_outcome::Written, 9, now);
    now += settings.suspicionInterval;
    EXPECT_EQ(next({ 7, 2 }), step::Write);
}

TEST_F(CrashRecordKeeper, AFailureIsTriedAgainLaterAndLater)
{
    auto delay = settings.minRetryDelay;
    for (int failure = 0; failure < 6; ++failure) {
        ASSERT_EQ(next(Quarantine), step::Read);
        keeper.readEnded({}, {}, now);
        now += delay - 1ms;
        EXPECT_EQ(next(Quarantine), step::None);
        now += 1ms;
        delay = std::min(2 * delay, settings.maxRetryDelay);
    }
    EXPECT_EQ(next(Quarantine), step::Read);
}

TEST_F(CrashRecordKeeper, AWriteWithoutProofIsFollowedByARead)
{
    read(7, Nothing);
    ASSERT_EQ(next(Quarantine), step::Write);
    keeper.writeEnded(record_write_outcome::Unknown, 0, now);
    now += settings.minRetryDelay;
    EXPECT_EQ(next(Quarantine), step::Read);
    keeper.readEnded(7, Nothing, now);
    EXPECT_EQ(next(Quarantine), step::Write);
    keeper.writeEnded(record_write_outcome::Conflict, 0, now);
    EXPECT_EQ(next(Quarantine), step::Read) << "at once";
}

TEST_F(CrashRecordKeeper, TheRecordIsReadAgainAfterTheRecoveryOfTheStore)
{
    read(7, Nothing);
    ASSERT_EQ(next(Quarantine), step::Write);
    keeper.writeEnded(record_write_outcome::Written, 8, now);
    keeper.storeRecovered();
    EXPECT_EQ(next(Quarantine), step::Read);
    keeper.storeRecovered(); // during the read
    keeper.readEnded(8, Quarantine, now);
    EXPECT_EQ(next(Quarantine), step::Read);
}

} // namespace
