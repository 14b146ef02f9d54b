// Guards against peers that read slowly being taken for gone (review/12), and against peers that are gone being found
// late.
#include "gateway/peer_watch.h"

#include "gateway/send_state.h"
#include "gateway/send_time_support.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 1'750ms;
constexpr auto CheckInterval = 250ms;
const instant Start { 100s };

send_state silentFor(std::chrono::milliseconds time)
{
    send_state state;
    state.unacknowledgedBytes = 1'000;
    state.awaitsAcknowledgement = true;
    state.sinceAcknowledgement = time;
    return state;
}

} // namespace

// The window of a caller that reads every four seconds is closed in between, and its kernel answers each probe.
TEST(PeerWatch, APeerThatAnswersProbesOfItsClosedWindowIsNotGone)
{
    peer_watch watch(Patience);
    for (std::chrono::milliseconds time {}; time < 60s; time += CheckInterval) {
        auto state = silentFor(time % 6'400ms); // the kernel's interval between two probes has doubled to 6.4 s
        state.awaitsAcknowledgement = false;
        state.probesWindow = true;
        EXPECT_FALSE(watch.isGone(state, Start + time)) << time.count();
    }
}

// Each check may fall between a segment and its acknowledgement.
TEST(PeerWatch, APeerThatAcknowledgesBetweenTheChecksIsNotGone)
{
    peer_watch watch(Patience);
    for (std::chrono::milliseconds time {}; time < 60s; time += CheckInterval)
        EXPECT_FALSE(watch.isGone(silentFor(40ms), Start + time)) << time.count();
}

TEST(PeerWatch, APeerThatAcknowledgesNothingIsGoneWithinTwoSeconds)
{
    peer_watch watch(Patience);
    const auto lastAcknowledgement = 5s; // before the silence, on a connection without traffic
    std::chrono::milliseconds time {};
    while (!watch.isGone(silentFor(lastAcknowledgement + time), Start + time))
        time += CheckInterval;
    EXPECT_EQ(time, Patience);
    EXPECT_LE(time + CheckInterval, 2s);
}

// A process that stood still has not seen whether anything was sent in time.
TEST(PeerWatch, ALateCheckAloneIsNoSilence)
{
    peer_watch watch(Patience);
    EXPECT_FALSE(watch.isGone(silentFor(10ms), Start));
    EXPECT_FALSE(watch.isGone(silentFor(1s), Start + 9s)) << "it acknowledged eight seconds after the first check";
    EXPECT_FALSE(watch.isGone(silentFor(2s), Start + 10s));
    EXPECT_TRUE(watch.isGone(silentFor(3s), Start + 11s));
}

TEST(PeerWatch, ASilenceThatEndedDoesNotCount)
{
    peer_watch watch(Patience);
    EXPECT_FALSE(watch.isGone(silentFor(10ms), Start));
    auto answered = silentFor(10ms);
    answered.awaitsAcknowledgement = false;
    EXPECT_FALSE(watch.isGone(answered, Start + 1s));
    EXPECT_FALSE(watch.isGone(silentFor(1'010ms), Start + 2s));
    watch.reset();
    EXPECT_FALSE(watch.isGone(silentFor(3'010ms), Start + 4s));
}

// Guards against peers that are never found gone on a system that keeps no times.
TEST(SendTimeSupport, IsRuledOutAfterStatesWithoutTimesOnly)
{
    send_time_support support;
    send_state state;
    for (int count = 0; count < 15; ++count)
        support.observe(state);
    EXPECT_FALSE(support.isKnown() || support.isRuledOut());
    support.observe(state);
    EXPECT_TRUE(support.isRuledOut());
    state.sinceAcknowledgement = 4ms;
    support.observe(state);
    EXPECT_TRUE(support.isKnown());
    EXPECT_FALSE(support.isRuledOut());
}
