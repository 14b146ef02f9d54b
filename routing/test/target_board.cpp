// Guards against requests sent to draining, failed or overloaded targets while better ones are free.
#include "routing/target_board.h"

#include "core/seeded_random.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class TargetBoard : public testing::Test {
protected:
    target_entry entry(const std::string& name, const std::string& zone = "z1", std::uint32_t slots = 4)
    {
        return { target_name(name), service_name("s"), "10.0.0.1:" + name, availability_zone(zone), slots, false, 1,
            0 };
    }

    std::string chosen(std::vector<target_name> excluded = {}, std::optional<availability_zone> avoided = {})
    {
        const auto target
            = board.choose({ service_name("s"), availability_zone("z1"), std::move(excluded), avoided }, now);
        return target ? target->name.value() : "";
    }

    seeded_random random { 1 };
    target_board board { board_settings {}, random };
    instant now { 1000s };
};

TEST_F(TargetBoard, ChoosesTheLeastLoaded)
{
    board.put(entry("a"), now);
    board.put(entry("b"), now);
    board.attemptStarted(target_name("a"), now);
    EXPECT_EQ(chosen(), "b");
    board.attemptStarted(target_name("b"), now);
    board.attemptStarted(target_name("b"), now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetBoard, ADrainingTargetGetsNothing)
{
    auto leaving = entry("a");
    leaving.draining = true;
    board.put(leaving, now);
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(board.usableTargets(service_name("s"), now), 0U);
}

TEST_F(TargetBoard, OtherServicesAreNeverChosen)
{
    auto other = entry("a");
    other.service = service_name("t");
    board.put(other, now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetBoard, AFailedTargetComesLastAndReturns)
{
    board.put(entry("a"), now);
    board.put(entry("b"), now);
    for (int load = 0; load < 3; ++load)
        board.attemptStarted(target_name("b"), now);
    board.recordFault(target_name("a"), target_fault::Unreachable, now);
    EXPECT_EQ(chosen(), "b");
    EXPECT_EQ(chosen({ target_name("b") }), "a") << "a target in back-off is used if no other remains";
    now += 1s;
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetBoard, AvoidanceGrowsWithFailuresInARow)
{
    board.put(entry("a"), now);
    board.put(entry("b"), now);
    for (int load = 0; load < 3; ++load)
        board.attemptStarted(target_name("b"), now);
    for (int fault = 0; fault < 3; ++fault)
        board.recordFault(target_name("a"), target_fault::Silent, now);
    now += 1s;
    EXPECT_EQ(chosen(), "b");
    board.recordSuccess(target_name("a"));
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetBoard, ANewIncarnationStartsClean)
{
    board.put(entry("a"), now);
    board.put(entry("b"), now);
    for (int load = 0; load < 3; ++load)
        board.attemptStarted(target_name("b"), now);
    board.recordFault(target_name("a"), target_fault::Unreachable, now);
    auto restarted = entry("a");
    restarted.startedAt = 2;
    board.put(restarted, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetBoard, AnAvoidedZoneComesAfterTheOthers)
{
    board.put(entry("a", "z1"), now);
    board.put(entry("b", "z2"), now);
    EXPECT_EQ(chosen({}, availability_zone("z1")), "b");
    EXPECT_EQ(chosen({ target_name("b") }, availability_zone("z1")), "a");
}

TEST_F(TargetBoard, ANewerTargetAtTheSameAddressReplacesTheOlder)
{
    board.put(entry("a"), now);
    auto restarted = entry("b");
    restarted.address = entry("a").address;
    restarted.startedAt = 2;
    board.put(restarted, now);
    EXPECT_FALSE(board.takesRequests(target_name("a"), now));
    EXPECT_EQ(chosen(), "b");
    EXPECT_FALSE(board.mayGoOnAt(entry("a"), now));
    EXPECT_TRUE(board.mayGoOnAt(restarted, now));
}

TEST_F(TargetBoard, AReplacedTargetGetsNothingUntilItRegistersAnew)
{
    board.put(entry("a"), now);
    board.recordFault(target_name("a"), target_fault::Misaddressed, now);
    EXPECT_EQ(chosen(), "");
    board.put(entry("a"), now);
    EXPECT_EQ(chosen(), "") << "a renewal of the old registration changes nothing";
    auto restarted = entry("a");
    restarted.startedAt = 2;
    board.put(restarted, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetBoard, ALateRenewalDoesNotUndoDrainingOrDeparture)
{
    auto ready = entry("a");
    ready.beat = 4;
    auto draining = ready;
    draining.beat = 5;
    draining.draining = true;
    board.put(ready, now);
    board.put(draining, now);
    board.put(ready, now);
    EXPECT_EQ(chosen(), "") << "an older renewal";
    auto later = ready;
    later.beat = 6;
    board.put(later, now);
    EXPECT_EQ(chosen(), "") << "a draining target remains draining";
    board.remove(target_name("a"), now);
    board.put(ready, now);
    EXPECT_EQ(chosen(), "") << "an older renewal after the removal";
    auto restarted = ready;
    restarted.startedAt = 2;
    restarted.beat = 1;
    board.put(restarted, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetBoard, ATargetFoundWithoutTheRegistryIsRegisteredLater)
{
    board.put(entry("a"), now); // found by a probe of its address; no renewal is known
    auto registered = entry("a");
    registered.beat = 1;
    EXPECT_TRUE(board.isNews(registered, now)) << "other nodes do not know the target yet";
    board.put(registered, now);
    registered.beat = 2;
    EXPECT_FALSE(board.isNews(registered, now));
    registered.draining = true;
    EXPECT_TRUE(board.isNews(registered, now));
    board.put(registered, now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetBoard, ATargetThatWasGoneBeforeItWasKnownIsNotTakenBackByALateRenewal)
{
    board.remove(target_name("a"), now);
    board.put(entry("a"), now);
    EXPECT_EQ(chosen(), "");
    now += 11s;
    board.put(entry("a"), now);
    EXPECT_EQ(chosen(), "a") << "the target keeps renewing, so it is alive";
}

// Other nodes have no renewals of this target, so they would add a target again that the reader of the store does
// not.
TEST_F(TargetBoard, ALateRenewalOfATargetThatIsGoneIsNotHandedOn)
{
    auto known = entry("a");
    known.beat = 7;
    board.put(known, now);
    board.remove(target_name("a"), now);
    known.beat = 6;
    EXPECT_FALSE(board.isNews(known, now));
    known.beat = 8;
    EXPECT_TRUE(board.isNews(known, now)) << "the target is alive: its registration had expired";
}

TEST_F(TargetBoard, ATargetThatLapsedReturnsWithANewerRenewal)
{
    auto ready = entry("a");
    ready.beat = 4;
    board.put(ready, now);
    board.remove(target_name("a"), now);
    ready.beat = 9;
    board.put(ready, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetBoard, ATargetThatSaidItLeavesIsNoNewsAtEachRenewal)
{
    board.put(entry("a"), now);
    board.recordLeaving(target_name("a"));
    EXPECT_EQ(chosen(), "");
    EXPECT_FALSE(board.isNews(entry("a"), now));
    EXPECT_FALSE(board.mayGoOnAt(entry("a"), now));
    board.put(entry("a"), now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetBoard, APauseEndsByItself)
{
    board.put(entry("a"), now);
    board.put(entry("b", "z2"), now);
    board.recordPause(target_name("a"), now + 3s);
    board.recordPause(target_name("a"), now + 1s);
    EXPECT_EQ(chosen(), "b");
    EXPECT_FALSE(board.allPausedUntil(service_name("s"), now)) << "another target accepts requests";
    board.recordPause(target_name("b"), now + 5s);
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(board.allPausedUntil(service_name("s"), now), now + 3s);
    EXPECT_TRUE(board.isPaused(target_name("a"), now + 2'999ms));
    now += 3s;
    EXPECT_EQ(chosen(), "a");
    EXPECT_FALSE(board.allPausedUntil(service_name("s"), now));
}

TEST_F(TargetBoard, ARemovedTargetIsGoneAtOnce)
{
    board.put(entry("a"), now);
    board.remove(target_name("a"), now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetBoard, ARegistrationThatLapsedInAnOutageIsKeptForAWhile)
{
    board.put(entry("a"), now);
    board.registryReturned(now);
    board.replaceAll({}, now);
    EXPECT_EQ(chosen(), "a");
    now += 2s;
    EXPECT_EQ(chosen(), "a");
    now += 1s;
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(board.size(), 0U);
}

TEST_F(TargetBoard, ARemovedTargetWithWorkIsForgottenWhenTheWorkEnds)
{
    board.put(entry("a"), now);
    board.attemptStarted(target_name("a"), now);
    board.remove(target_name("a"), now);
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(board.size(), 1U);
    board.attemptEnded(target_name("a"));
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(board.size(), 0U);
}

} // namespace
