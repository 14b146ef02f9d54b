// Guards against requests sent to draining, failed or overloaded targets while better ones are free.
#include "routing/target_tracker.h"

#include "core/seeded_random.h"
#include "routing/target_departure.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

class TargetTracker : public testing::Test {
protected:
    target_entry entry(const std::string& name, const std::string& zone = "z1", std::uint32_t slots = 4)
    {
        return { target_name(name), service_name("s"), "10.0.0.1:" + name, availability_zone(zone), slots, false, 1,
            0 };
    }

    std::string chosen(std::vector<target_name> excluded = {}, std::optional<availability_zone> avoided = {})
    {
        const auto target
            = tracker.choose({ service_name("s"), availability_zone("z1"), std::move(excluded), avoided }, now);
        return target ? target->name.value() : "";
    }

    seeded_random random { 1 };
    target_tracker tracker { target_tracker_settings {}, random };
    instant now { 1000s };
};

TEST_F(TargetTracker, ChoosesTheLeastLoaded)
{
    tracker.put(entry("a"), now);
    tracker.put(entry("b"), now);
    tracker.attemptStarted(target_name("a"), now);
    EXPECT_EQ(chosen(), "b");
    tracker.attemptStarted(target_name("b"), now);
    tracker.attemptStarted(target_name("b"), now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, DrainingTargetGetsNoRequests)
{
    auto leaving = entry("a");
    leaving.draining = true;
    tracker.put(leaving, now);
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(tracker.usableTargets(service_name("s"), now), 0U);
}

TEST_F(TargetTracker, OtherServicesAreNeverChosen)
{
    auto other = entry("a");
    other.service = service_name("t");
    tracker.put(other, now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetTracker, FailedTargetIsChosenLastUntilBackoffEnds)
{
    tracker.put(entry("a"), now);
    tracker.put(entry("b"), now);
    for (int load = 0; load < 3; ++load)
        tracker.attemptStarted(target_name("b"), now);
    tracker.recordFault(target_name("a"), target_fault::Unreachable, now);
    EXPECT_EQ(chosen(), "b");
    EXPECT_EQ(chosen({ target_name("b") }), "a") << "a target in back-off is used if no other remains";
    now += 1s;
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, BackoffGrowsWithConsecutiveFaults)
{
    tracker.put(entry("a"), now);
    tracker.put(entry("b"), now);
    for (int load = 0; load < 3; ++load)
        tracker.attemptStarted(target_name("b"), now);
    for (int fault = 0; fault < 3; ++fault)
        tracker.recordFault(target_name("a"), target_fault::NoResponse, now);
    now += 1s;
    EXPECT_EQ(chosen(), "b");
    tracker.recordSuccess(target_name("a"));
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, NewIncarnationHasNoBackoff)
{
    tracker.put(entry("a"), now);
    tracker.put(entry("b"), now);
    for (int load = 0; load < 3; ++load)
        tracker.attemptStarted(target_name("b"), now);
    tracker.recordFault(target_name("a"), target_fault::Unreachable, now);
    auto restarted = entry("a");
    restarted.startedAt = 2;
    tracker.put(restarted, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, AvoidedZoneIsChosenLast)
{
    tracker.put(entry("a", "z1"), now);
    tracker.put(entry("b", "z2"), now);
    EXPECT_EQ(chosen({}, availability_zone("z1")), "b");
    EXPECT_EQ(chosen({ target_name("b") }, availability_zone("z1")), "a");
}

TEST_F(TargetTracker, ANewerTargetAtTheSameAddressReplacesTheOlder)
{
    tracker.put(entry("a"), now);
    auto restarted = entry("b");
    restarted.address = entry("a").address;
    restarted.startedAt = 2;
    tracker.put(restarted, now);
    EXPECT_FALSE(tracker.takesRequests(target_name("a"), now));
    EXPECT_EQ(chosen(), "b");
    EXPECT_FALSE(tracker.canResumeAt(entry("a"), now));
    EXPECT_TRUE(tracker.canResumeAt(restarted, now));
}

TEST_F(TargetTracker, ReplacedTargetGetsNoRequestsUntilItRestarts)
{
    tracker.put(entry("a"), now);
    tracker.recordFault(target_name("a"), target_fault::AddressReused, now);
    EXPECT_EQ(chosen(), "");
    tracker.put(entry("a"), now);
    EXPECT_EQ(chosen(), "") << "a renewal of the old registration changes nothing";
    auto restarted = entry("a");
    restarted.startedAt = 2;
    tracker.put(restarted, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, LateRenewalDoesNotUndoDrainingOrRemoval)
{
    auto ready = entry("a");
    ready.renewalCount = 4;
    auto draining = ready;
    draining.renewalCount = 5;
    draining.draining = true;
    tracker.put(ready, now);
    tracker.put(draining, now);
    tracker.put(ready, now);
    EXPECT_EQ(chosen(), "") << "an older renewal";
    auto later = ready;
    later.renewalCount = 6;
    tracker.put(later, now);
    EXPECT_EQ(chosen(), "") << "a draining target remains draining";
    tracker.remove(target_name("a"), now);
    tracker.put(ready, now);
    EXPECT_EQ(chosen(), "") << "an older renewal after the removal";
    auto restarted = ready;
    restarted.startedAt = 2;
    restarted.renewalCount = 1;
    tracker.put(restarted, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, TargetFoundWithoutTheRegistryIsRegisteredLater)
{
    tracker.put(entry("a"), now); // found by a probe of its address; no renewal is known
    auto registered = entry("a");
    registered.renewalCount = 1;
    EXPECT_TRUE(tracker.isUpdate(registered)) << "other nodes do not know the target yet";
    tracker.put(registered, now);
    registered.renewalCount = 2;
    EXPECT_FALSE(tracker.isUpdate(registered));
    registered.draining = true;
    EXPECT_TRUE(tracker.isUpdate(registered));
    tracker.put(registered, now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetTracker, LateRenewalDoesNotRestoreATargetRemovedBeforeItWasKnown)
{
    tracker.remove(target_name("a"), now);
    tracker.put(entry("a"), now);
    EXPECT_EQ(chosen(), "");
    now += 11s;
    tracker.put(entry("a"), now);
    EXPECT_EQ(chosen(), "a") << "the target keeps renewing, so it is alive";
}

// The node may be the one that reads the registry for others, which know the target.
TEST_F(TargetTracker, ARegistrationThatIsHeldBackHereIsAnUpdateForOthers)
{
    tracker.remove(target_name("a"), now);
    auto draining = entry("a");
    draining.draining = true;
    EXPECT_TRUE(tracker.isUpdate(draining));
    tracker.put(draining, now);
    EXPECT_EQ(chosen(), "");
}

// Other nodes have no renewals of this target, so they would add a target again that the reader of the store does
// not.
TEST_F(TargetTracker, LateRenewalOfARemovedTargetIsNoUpdate)
{
    auto known = entry("a");
    known.renewalCount = 7;
    tracker.put(known, now);
    tracker.remove(target_name("a"), now);
    known.renewalCount = 6;
    EXPECT_FALSE(tracker.isUpdate(known));
    EXPECT_TRUE(tracker.isOutdated(known));
    known.renewalCount = 10;
    EXPECT_FALSE(tracker.isUpdate(known)) << "sent before the removal, but never seen";
    EXPECT_TRUE(tracker.isOutdated(known));
    known.renewalCount = 11;
    EXPECT_TRUE(tracker.isUpdate(known)) << "the target is alive: its registration had expired";
    EXPECT_FALSE(tracker.isOutdated(known));
}

TEST_F(TargetTracker, TargetThatExpiredInAnOutageReturnsWithItsNextRenewal)
{
    auto known = entry("a");
    known.renewalCount = 7;
    tracker.put(known, now);
    tracker.registryRecovered(now);
    tracker.remove(target_name("a"), now);
    now += 3s;
    EXPECT_EQ(chosen(), "");
    known.renewalCount = 7;
    EXPECT_TRUE(tracker.isOutdated(known));
    known.renewalCount = 8;
    EXPECT_TRUE(tracker.isUpdate(known));
    tracker.put(known, now);
    EXPECT_EQ(chosen(), "a");
}

// Guards against a target that is back under its name and is not used, because a renewal of its earlier start follows.
TEST_F(TargetTracker, LateRenewalOfAnEarlierStartChangesNothing)
{
    auto earlier = entry("a");
    earlier.renewalCount = 3;
    auto restarted = earlier;
    restarted.startedAt = 2;
    restarted.renewalCount = 1;
    tracker.put(earlier, now);
    tracker.put(restarted, now);
    auto late = earlier;
    late.renewalCount = 9;
    late.draining = true;
    EXPECT_FALSE(tracker.isUpdate(late));
    tracker.put(late, now);
    EXPECT_EQ(chosen(), "a");
    tracker.remove(target_name("a"), now);
    tracker.put(earlier, now);
    EXPECT_EQ(chosen(), "") << "after the removal too";
}

// The node that reads the registry sends the last registration with the removal.
TEST_F(TargetTracker, RemovalOfAnUnknownTargetThatOthersKnewHoldsBackNoNewStart)
{
    auto last = entry("a");
    last.renewalCount = 7;
    tracker.remove(target_name("a"), now, last);
    tracker.put(last, now);
    EXPECT_EQ(chosen(), "");
    auto restarted = entry("a");
    restarted.startedAt = 2;
    tracker.put(restarted, now);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, TargetThatWasHeldBackIsUsedWithoutAFurtherRenewal)
{
    tracker.remove(target_name("a"), now);
    tracker.put(entry("a"), now);
    now += 9s;
    EXPECT_EQ(chosen(), "");
    now += 2s;
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, TargetThatWasHeldBackAndIsRemovedAgainIsNotUsed)
{
    tracker.remove(target_name("a"), now);
    tracker.put(entry("a"), now);
    tracker.remove(target_name("a"), now + 1s);
    now += 15s;
    EXPECT_EQ(chosen(), "");
}

// Guards against a target that has left and is used again, because a node that knows few of its renewals takes a late
// one for a sign of life; and against one that is alive and is not used for longer than late renewals can arrive.
TEST_F(TargetTracker, ExpiredTargetReturnsWithANewerRenewalOnceNoneCanBeLate)
{
    auto ready = entry("a");
    ready.renewalCount = 4;
    tracker.put(ready, now);
    tracker.remove(target_name("a"), now);
    ready.renewalCount = 90;
    EXPECT_TRUE(tracker.isUpdate(ready)) << "other nodes hold it back, too";
    tracker.put(ready, now + 6s);
    now += 9s;
    EXPECT_EQ(chosen(), "");
    now += 1s;
    EXPECT_EQ(chosen(), "a") << "still registered, without a further renewal";
}

// Guards against the same while a request is in flight, so that the target is kept until it ends.
TEST_F(TargetTracker, RemovedTargetWithARequestInFlightIsNotUsedForALateRenewal)
{
    tracker.put(entry("a"), now);
    tracker.attemptStarted(target_name("a"), now);
    tracker.remove(target_name("a"), now);
    auto late = entry("a");
    late.renewalCount = 90;
    tracker.put(late, now);
    EXPECT_EQ(chosen(), "");
    now += 10s;
    EXPECT_EQ(chosen(), "a");
}

// Guards against a target that has left and is used again, because its late renewal was removed once more.
TEST_F(TargetTracker, ALateRenewalThatExpiresRestoresNoTarget)
{
    tracker.put(entry("a"), now);
    tracker.remove(target_name("a"), now);
    auto late = entry("a");
    late.renewalCount = 90;
    tracker.put(late, now + 6s);
    tracker.remove(target_name("a"), now + 9'600ms, late);
    now += 15s;
    EXPECT_EQ(chosen(), "");
}

// Guards against a target that has left and is used again by a node that started after its removal.
TEST_F(TargetTracker, AnOldRegistrationThatAppearsAfterTheStartIsHeldBack)
{
    tracker.replaceAll({ entry("b") }, now);
    auto late = entry("a");
    late.renewalCount = 90;
    tracker.put(late, now + 2s);
    EXPECT_EQ(chosen({ target_name("b") }), "");
    auto started = entry("c");
    started.renewalCount = 1;
    tracker.put(started, now + 2s);
    EXPECT_EQ(chosen({ target_name("b") }), "c") << "a new target";
    now += 10s;
    EXPECT_EQ(chosen({ target_name("b"), target_name("c") }), "a") << "still registered";
}

// Guards against a target that has left and is used by a node that read its late registration after a time in which it
// did not follow the registry.
TEST_F(TargetTracker, ARemovalThatAnotherNodeKnowsEndsTheUseOfALateRegistration)
{
    auto late = entry("a");
    late.renewalCount = 90;
    tracker.replaceAll({ late }, now);
    ASSERT_EQ(chosen(), "a");
    tracker.mergeDepartures({ { target_name("a"), { 1, 91 }, 4s } }, now);
    EXPECT_EQ(chosen(), "");
    now += 5s;
    EXPECT_EQ(chosen(), "");
    now += 1s;
    EXPECT_EQ(chosen(), "a") << "no late renewal can have kept it registered for so long";
}

TEST_F(TargetTracker, ARemovalThatAnotherNodeKnowsComesBeforeTheLateRegistration)
{
    tracker.put(entry("a"), now);
    tracker.mergeDepartures({ { target_name("a"), { 1, 5 }, 1s } }, now);
    auto late = entry("a");
    late.renewalCount = 90;
    tracker.put(late, now);
    EXPECT_EQ(chosen(), "");
    auto restarted = entry("a");
    restarted.startedAt = 2;
    tracker.put(restarted, now);
    EXPECT_EQ(chosen(), "a") << "a later start";
    tracker.mergeDepartures({ { target_name("a"), { 1, 5 }, 1s } }, now);
    EXPECT_EQ(chosen(), "a") << "the removal of an earlier start";
    now += 20s;
    EXPECT_EQ(chosen(), "a");
    EXPECT_EQ(tracker.find(target_name("a"))->startedAt, 2U) << "the registration that was held back is forgotten";
}

// Guards against a target that has left and is used by a node that started while a late renewal of an earlier start
// stood in place of its registration.
TEST_F(TargetTracker, ARemovalOfALaterStartEndsTheUseOfALateRegistration)
{
    tracker.replaceAll({ entry("a") }, now);
    ASSERT_EQ(chosen(), "a");
    tracker.mergeDepartures({ { target_name("a"), { 2, 1 }, 100ms } }, now);
    EXPECT_EQ(chosen(), "");
    tracker.put(entry("a"), now);
    EXPECT_EQ(chosen(), "") << "an earlier start";
    now += 20s;
    EXPECT_EQ(chosen(), "") << "nothing of the later start is known that could be used";
}

// Guards against a target that drains and gets requests, because a late renewal replaced its registration.
TEST_F(TargetTracker, ADrainingThatAnotherNodeKnowsEndsTheUse)
{
    auto known = entry("a");
    known.startedAt = 2;
    tracker.put(known, now);
    tracker.mergeDepartures({ { target_name("a"), { 1, 9 }, std::nullopt } }, now);
    EXPECT_EQ(chosen(), "a") << "an earlier start";
    tracker.mergeDepartures({ { target_name("a"), { 2, 1 }, std::nullopt } }, now);
    EXPECT_EQ(chosen(), "");
}

// The target has started again, so that the known registration is one of an earlier start.
TEST_F(TargetTracker, ADrainingOfALaterStartEndsTheUseToo)
{
    tracker.put(entry("a"), now);
    tracker.mergeDepartures({ { target_name("a"), { 2, 1 }, std::nullopt } }, now);
    EXPECT_EQ(chosen(), "");
    auto next = entry("a");
    next.startedAt = 3;
    tracker.put(next, now);
    EXPECT_EQ(chosen(), "a");
}

// Guards against targets that no node uses because one node was wrong about them: what is only missing in a table that
// was read, or may return after an outage, is not passed on.
TEST_F(TargetTracker, DeparturesAreThoseThatTheRegistryReported)
{
    auto draining = entry("d");
    draining.draining = true;
    tracker.replaceAll({ entry("a"), entry("b"), draining }, now);
    tracker.replaceAll({ entry("a"), draining }, now + 1s);
    tracker.remove(target_name("a"), now + 2s);
    tracker.recordFormerRemoval(entry("e"), now + 2s);
    const auto known = tracker.departures(now + 5s);
    ASSERT_EQ(known.size(), 2U);
    EXPECT_EQ(known[0].target.value(), "a");
    EXPECT_EQ(known[0].last, (registration_version { 1, 0 }));
    EXPECT_EQ(known[0].sinceRemoval, 3s);
    EXPECT_EQ(known[1].target.value(), "d");
    EXPECT_FALSE(known[1].sinceRemoval);
    tracker.registryRecovered(now + 13s);
    tracker.put(entry("f"), now + 13s);
    tracker.remove(target_name("f"), now + 13s);
    EXPECT_EQ(tracker.departures(now + 13s).size(), 1U) << "one is too long ago, one may return";
}

// Guards against a request to a target that is out of service, because its former removal held it back.
TEST_F(TargetTracker, AFormerRemovalOnlyTellsWhatIsOutdated)
{
    auto last = entry("a");
    last.renewalCount = 7;
    tracker.recordFormerRemoval(last, now);
    EXPECT_TRUE(tracker.isOutdated(last));
    last.renewalCount = 20;
    tracker.put(last, now);
    EXPECT_EQ(chosen(), "a");
}

// Guards against targets that are not used after an outage in which this node started and their registrations expired.
TEST_F(TargetTracker, OldRegistrationsThatReturnAfterAnOutageAreUsedAtOnce)
{
    tracker.registryRecovered(now);
    tracker.replaceAll({}, now);
    auto returned = entry("a");
    returned.renewalCount = 90;
    tracker.put(returned, now + 1s);
    EXPECT_EQ(chosen(), "a");
}

TEST_F(TargetTracker, RenewalAfterAShutdownNoticeIsNoUpdate)
{
    tracker.put(entry("a"), now);
    tracker.recordShutdownNotice(target_name("a"));
    EXPECT_EQ(chosen(), "");
    EXPECT_FALSE(tracker.isUpdate(entry("a")));
    EXPECT_FALSE(tracker.canResumeAt(entry("a"), now));
    tracker.put(entry("a"), now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetTracker, PauseExpires)
{
    tracker.put(entry("a"), now);
    tracker.put(entry("b", "z2"), now);
    tracker.recordPause(target_name("a"), now + 3s);
    tracker.recordPause(target_name("a"), now + 1s);
    EXPECT_EQ(chosen(), "b");
    EXPECT_FALSE(tracker.allUnavailable(service_name("s"), now)) << "another target accepts requests";
    tracker.recordPause(target_name("b"), now + 5s);
    EXPECT_EQ(chosen(), "");
    ASSERT_TRUE(tracker.allUnavailable(service_name("s"), now));
    EXPECT_EQ(tracker.allUnavailable(service_name("s"), now)->next, now + 3s);
    EXPECT_FALSE(tracker.allUnavailable(service_name("s"), now)->limited);
    EXPECT_TRUE(tracker.isPaused(target_name("a"), now + 2'999ms));
    now += 3s;
    EXPECT_EQ(chosen(), "a");
    EXPECT_FALSE(tracker.allUnavailable(service_name("s"), now));
}

TEST_F(TargetTracker, RemovedTargetIsNotChosen)
{
    tracker.put(entry("a"), now);
    tracker.remove(target_name("a"), now);
    EXPECT_EQ(chosen(), "");
}

TEST_F(TargetTracker, RegistrationThatExpiredInAnOutageIsKeptForTheGrace)
{
    tracker.put(entry("a"), now);
    tracker.registryRecovered(now);
    tracker.replaceAll({}, now);
    EXPECT_EQ(chosen(), "a");
    now += 2s;
    EXPECT_EQ(chosen(), "a");
    now += 1s;
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(tracker.size(), 0U);
}

TEST_F(TargetTracker, RemovedTargetIsErasedWhenItsAttemptsEnd)
{
    tracker.put(entry("a"), now);
    tracker.attemptStarted(target_name("a"), now);
    tracker.remove(target_name("a"), now);
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(tracker.size(), 1U);
    tracker.attemptEnded(target_name("a"));
    EXPECT_EQ(chosen(), "");
    EXPECT_EQ(tracker.size(), 0U);
}

// Guards against a removed target that is used again because a restored registry contains an old registration of it,
// with more renewals than this node knew at the removal.
TEST_F(TargetTracker, RemovedTargetInARestoredRegistryIsNotUsed)
{
    auto renewed = entry("a");
    tracker.put(renewed, now);
    tracker.remove(target_name("a"), now);
    now += 2s;
    tracker.registryRecovered(now);
    renewed.renewalCount = 8;
    tracker.replaceAll({ renewed }, now);
    EXPECT_EQ(chosen(), "");
    renewed.renewalCount = 12;
    tracker.put(renewed, now + 5s);
    EXPECT_EQ(chosen(), "") << "may have been written before the removal";
    now += 8s;
    EXPECT_EQ(chosen(), "a") << "further renewals, later than any of them can arrive";
}

// Guards against the same while a request is in flight, so that the target is kept until it ends.
TEST_F(TargetTracker, RemovedTargetWithARequestInFlightIsNotUsedAgain)
{
    auto renewed = entry("a");
    tracker.put(renewed, now);
    tracker.attemptStarted(target_name("a"), now);
    tracker.remove(target_name("a"), now);
    now += 2s;
    tracker.registryRecovered(now);
    renewed.renewalCount = 8;
    tracker.replaceAll({ renewed }, now);
    EXPECT_EQ(chosen(), "");
    renewed.startedAt = 2;
    renewed.renewalCount = 1;
    tracker.put(renewed, now);
    EXPECT_EQ(chosen(), "a") << "a later start";
}

// Guards against a target that is used after it has left, because its late registration was held back and a whole table
// without it did not end that.
TEST_F(TargetTracker, TargetThatWasHeldBackAndIsNotInTheTableIsNotUsed)
{
    tracker.remove(target_name("a"), now);
    tracker.put(entry("a"), now + 1s);
    tracker.replaceAll({}, now + 2s);
    now += 30s;
    EXPECT_EQ(chosen(), "");
}

// Guards against a target that is used after it has left, because the start that left had fewer renewals than an
// earlier start that this node still knew.
TEST_F(TargetTracker, LateRenewalOfARemovedLaterStartIsOutdated)
{
    auto earlier = entry("a");
    earlier.renewalCount = 9;
    tracker.put(earlier, now);
    auto last = entry("a");
    last.startedAt = 2;
    last.renewalCount = 1;
    tracker.remove(target_name("a"), now, last);
    EXPECT_TRUE(tracker.isOutdated(last));
    tracker.put(last, now);
    EXPECT_EQ(chosen(), "");
}

// Guards against a removed target that is used again, since a node found a process of its name whose start it cannot
// know.
TEST_F(TargetTracker, ATargetFoundWithoutItsStartIsOlderThanItsRemoval)
{
    tracker.put(entry("a"), now);
    tracker.remove(target_name("a"), now);
    auto found = entry("a");
    found.startedAt = 0;
    EXPECT_TRUE(tracker.isOutdated(found));
    tracker.put(found, now);
    EXPECT_EQ(chosen(), "");
}

// Guards against a target that is in service while another writer's entry stands in place of its registration, and
// against one that is out of service for several renewals after that.
TEST_F(TargetTracker, AnOverwrittenRegistrationSuspendsTheTargetUntilItsNextRenewal)
{
    auto known = entry("a");
    known.renewalCount = 7;
    tracker.put(known, now);
    tracker.recordOverwritten(target_name("a"));
    EXPECT_EQ(chosen(), "");
    EXPECT_TRUE(tracker.leavesAsPlanned(target_name("a"), now)) << "no sign of a crash";
    auto late = known;
    late.renewalCount = 6;
    tracker.put(late, now);
    EXPECT_EQ(chosen(), "") << "written before the other entry";
    known.renewalCount = 8;
    EXPECT_TRUE(tracker.isUpdate(known)) << "other nodes have suspended the target, too";
    tracker.put(known, now);
    EXPECT_EQ(chosen(), "a");
    known.renewalCount = 9;
    EXPECT_FALSE(tracker.isUpdate(known));
}

TEST_F(TargetTracker, AnOverwrittenRegistrationEndsNoDraining)
{
    auto known = entry("a");
    known.draining = true;
    tracker.put(known, now);
    tracker.replaceAll({}, now, { target_name("a") });
    known.draining = false;
    known.renewalCount = 1;
    tracker.put(known, now);
    EXPECT_EQ(chosen(), "");
}

// Guards against a suspended target that a complete read of the registry takes for a removed one.
TEST_F(TargetTracker, AnOverwrittenRegistrationInAWholeTableIsNoRemoval)
{
    tracker.put(entry("a"), now);
    tracker.replaceAll({}, now, { target_name("a") });
    EXPECT_EQ(chosen(), "");
    auto renewed = entry("a");
    renewed.renewalCount = 1;
    tracker.put(renewed, now);
    EXPECT_EQ(chosen(), "a");
}

// Guards against requests that reach a version which must not get them.
TEST_F(TargetTracker, AVersionConditionAdmitsOnlyItsTargets)
{
    for (const auto* name : { "a", "b", "c" }) {
        auto versioned = entry(name);
        versioned.version = versioned.name.value() == "c" ? "v2" : "v1";
        tracker.put(versioned, now);
    }
    target_query query { service_name("s"), availability_zone("z1"), {}, std::nullopt };
    EXPECT_EQ(tracker.candidates(query, 9, now).size(), 3U);
    query.version = version_condition { "v2" };
    ASSERT_TRUE(tracker.choose(query, now));
    EXPECT_EQ(tracker.choose(query, now)->name.value(), "c");
    EXPECT_EQ(tracker.candidates(query, 9, now).size(), 1U);
    query.version->isExcluded = true;
    EXPECT_EQ(tracker.candidates(query, 9, now).size(), 2U);
    query.version = version_condition { "v3" };
    EXPECT_FALSE(tracker.choose(query, now)) << "no target has this version";
    tracker.recordPause(target_name("c"), now + 1s);
    EXPECT_FALSE(tracker.allUnavailable(service_name("s"), now));
    EXPECT_TRUE(tracker.allUnavailable(service_name("s"), now, version_condition { "v2" }));
    tracker.recordPause(target_name("c"), now);
    query.version->isExcluded = true;
    query.only = { target_name("b") };
    EXPECT_EQ(tracker.candidates(query, 9, now).size(), 1U);
    EXPECT_EQ(tracker.choose(query, now)->name.value(), "b");
    EXPECT_EQ(tracker.registeredTargets(service_name("s"), now).size(), 3U);
}

// Guards against nodes that do not learn of a version because the row seems to be a renewal.
TEST_F(TargetTracker, AChangedVersionIsAnUpdate)
{
    auto known = entry("a");
    known.renewalCount = 1;
    known.version = "v1";
    tracker.put(known, now);
    known.renewalCount = 2;
    EXPECT_FALSE(tracker.isUpdate(known));
    known.version = "v2";
    EXPECT_TRUE(tracker.isUpdate(known));
}

} // namespace
