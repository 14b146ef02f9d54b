// Guards against sound targets that are found absent by a node whose link is full, and lost ones that are not found.
#include "routing/absence_evidence.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr auto Limit = 60ms;
constexpr auto Window = 100ms;

class AbsenceEvidence : public testing::Test {
protected:
    void responds(const std::string& target, std::chrono::milliseconds sentAt, std::chrono::milliseconds at)
    {
        evidence.recordResponse(target_name(target), start + sentAt, start + at);
        take(at);
    }

    void fails(const std::string& target, const std::string& zone, std::chrono::milliseconds sentAt,
        std::chrono::milliseconds at)
    {
        evidence.recordSilence(
            { target_name(target), availability_zone(zone), start + sentAt, start + sentAt + Limit }, start + at);
        take(at);
    }

    void take(std::chrono::milliseconds at)
    {
        for (const auto& finding : evidence.takeFindings(start + at))
            (finding.absent ? absent : unproven).push_back(finding.target.value());
    }

    using names = std::vector<std::string>;

    const instant start { 1000s };
    absence_evidence evidence { Window };
    names absent;
    names unproven;
};

// The link is full: all probes of a burst are held up.
TEST_F(AbsenceEvidence, TargetsOfSeveralZonesThatAreSilentTogetherAreNotAbsent)
{
    fails("a", "z1", 0ms, 60ms);
    fails("b", "z2", 20ms, 80ms);
    fails("c", "z1", 90ms, 150ms);
    take(250ms);
    EXPECT_EQ(unproven, (names { "a", "b", "c" }));
    EXPECT_TRUE(absent.empty());
    EXPECT_EQ(evidence.nextDue(), instant::max());
}

// A zone is lost under load: polls mix its targets with those of other zones.
TEST_F(AbsenceEvidence, ALostZoneIsFoundAtOnceWhileOtherZonesRespond)
{
    responds("other", 0ms, 2ms);
    fails("a", "z1", 0ms, 60ms);
    fails("b", "z1", 0ms, 60ms);
    EXPECT_EQ(absent, (names { "a", "b" }));
}

// Two zones are lost, or one while a target of another one crashes.
TEST_F(AbsenceEvidence, TargetsOfSeveralZonesAreAbsentWhileAnotherResponds)
{
    fails("a", "z1", 0ms, 60ms);
    fails("b", "z2", 0ms, 60ms);
    EXPECT_TRUE(absent.empty());
    responds("other", 50ms, 62ms);
    EXPECT_EQ(absent, (names { "a", "b" }));
    EXPECT_TRUE(unproven.empty());
}

// A zone is lost at a node with few requests: nothing else is probed.
TEST_F(AbsenceEvidence, SilenceInOneZoneIsAbsenceAfterTheWindow)
{
    fails("a", "z1", 0ms, 60ms);
    fails("b", "z1", 0ms, 60ms);
    EXPECT_EQ(evidence.nextDue(), start + 60ms + Window);
    take(159ms);
    EXPECT_TRUE(absent.empty());
    take(160ms);
    EXPECT_EQ(absent, (names { "a", "b" }));
}

// The node was frozen from 10 to 300 ms, and what it sends afterwards is answered.
TEST_F(AbsenceEvidence, ResponsesAfterTheFreezeSayNothingAboutTheProbesBeforeIt)
{
    fails("a", "z1", 0ms, 320ms);
    fails("b", "z2", 0ms, 320ms);
    responds("c", 302ms, 321ms);
    take(420ms);
    EXPECT_TRUE(absent.empty());
    EXPECT_EQ(unproven, (names { "a", "b" }));
}

// A slow link: probes of streams, whose limit is longer, are answered, and those of polls are not.
TEST_F(AbsenceEvidence, AResponseBeyondTheLimitOfTheSilentProbesProvesNothing)
{
    fails("a", "z1", 0ms, 60ms);
    fails("b", "z2", 0ms, 60ms);
    responds("c", 0ms, 120ms);
    take(160ms);
    EXPECT_EQ(unproven, (names { "a", "b" }));
}

// The link is lost at a node with few streams: their probes end further apart than the window.
TEST_F(AbsenceEvidence, ASilenceThatIsBeingConfirmedIsNotDecided)
{
    fails("a", "z1", 0ms, 60ms);
    evidence.beginConfirmation(target_name("a"));
    take(200ms);
    EXPECT_TRUE(absent.empty() && unproven.empty());
    EXPECT_EQ(evidence.nextDue(), instant::max());
    fails("a", "z1", 61ms, 210ms);
    fails("b", "z2", 61ms, 210ms);
    evidence.endConfirmation(target_name("a"), true);
    take(210ms);
    EXPECT_EQ(unproven, names { "a" });
    EXPECT_TRUE(absent.empty());
}

// A zone is lost at a node that probes nothing else.
TEST_F(AbsenceEvidence, AConfirmedSilenceIsAbsenceWhenAnotherZoneResponds)
{
    fails("a", "z1", 0ms, 60ms);
    evidence.beginConfirmation(target_name("a"));
    responds("b", 61ms, 63ms);
    EXPECT_TRUE(absent.empty()); // the node may have been frozen: the response to the first probe may be under way
    fails("a", "z1", 61ms, 121ms);
    EXPECT_EQ(absent, names { "a" });
}

// The node had no memory for the further probes.
TEST_F(AbsenceEvidence, ASilenceThatCouldNotBeConfirmedIsDecidedAfterTheWindow)
{
    fails("a", "z1", 0ms, 60ms);
    evidence.beginConfirmation(target_name("a"));
    evidence.endConfirmation(target_name("a"), false);
    take(159ms);
    EXPECT_TRUE(absent.empty());
    fails("b", "z2", 90ms, 159ms);
    take(160ms);
    EXPECT_EQ(unproven, names { "a" });
}

// The target was busy for a moment.
TEST_F(AbsenceEvidence, ATargetThatRespondsMeanwhileIsNotAbsent)
{
    fails("a", "z1", 0ms, 60ms);
    responds("a", 61ms, 63ms);
    take(200ms);
    EXPECT_TRUE(absent.empty() && unproven.empty());
}

// Failures further apart than the window are separate.
TEST_F(AbsenceEvidence, SilencesAtDifferentTimesAreJudgedSeparately)
{
    fails("a", "z1", 0ms, 60ms);
    take(160ms);
    fails("b", "z2", 400ms, 460ms);
    take(560ms);
    EXPECT_EQ(absent, (names { "a", "b" }));
}

} // namespace
