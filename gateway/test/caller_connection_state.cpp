// Guards against connections that are closed while a response is being sent, and against connections that stay open.
#include "gateway/caller_connection_state.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using namespace std::chrono_literals;

namespace {

const instant Start { 1'000s };

class CallerConnectionState : public testing::Test {
protected:
    CallerConnectionState() { state.startRequest(Start); }

    caller_connection_state state { Start };
};

TEST_F(CallerConnectionState, IsIdleFromTheLastByteOfTheResponse)
{
    EXPECT_EQ(state.completeResponse(after_response::KeepOpen, true, Start + 1s), connection_action::ReadRequest);
    EXPECT_EQ(state.phase(), caller_phase::Sending);
    EXPECT_FALSE(state.waitingSince());
    EXPECT_FALSE(state.mayCloseAtStop(Start + 2s));
    EXPECT_EQ(state.drain(Start + 3s), connection_action::None);
    EXPECT_EQ(state.phase(), caller_phase::Idle);
    EXPECT_EQ(state.waitingSince(), Start + 3s);
    EXPECT_TRUE(state.mayCloseAtStop(Start + 3s));
}

TEST_F(CallerConnectionState, LingersFromTheLastByteOfTheLastResponse)
{
    EXPECT_EQ(state.completeResponse(after_response::Close, true, Start), connection_action::None);
    EXPECT_EQ(state.phase(), caller_phase::Closing);
    EXPECT_FALSE(state.isEnding()) << "a stop waits for it, or cuts it";
    EXPECT_EQ(state.drain(Start + 1s), connection_action::ShutDownSending);
    EXPECT_EQ(state.phase(), caller_phase::Lingering);
    EXPECT_EQ(state.lingersUntil(), Start + 1s + 500ms);
    EXPECT_TRUE(state.isEnding());
}

TEST_F(CallerConnectionState, LingersWhileTheCallerSendsButNotWithoutEnd)
{
    EXPECT_EQ(state.completeResponse(after_response::Close, false, Start), connection_action::ShutDownSending);
    state.discardInput(Start + 400ms);
    EXPECT_EQ(state.lingersUntil(), Start + 900ms);
    for (auto now = Start; now < Start + 10s; now += 100ms)
        state.discardInput(now);
    EXPECT_EQ(state.lingersUntil(), Start + 2s);
}

TEST_F(CallerConnectionState, TheNextRequestMayArriveWhileAResponseIsSent)
{
    state.completeResponse(after_response::KeepOpen, true, Start);
    state.receiveInput(Start + 1s);
    EXPECT_EQ(state.phase(), caller_phase::Reading);
    EXPECT_FALSE(state.waitingSince()) << "the limit for its header must not end the response";
    state.drain(Start + 2s);
    EXPECT_EQ(state.waitingSince(), Start + 2s);
    state.startRequest(Start + 3s);
    EXPECT_FALSE(state.waitingSince());
    EXPECT_FALSE(state.mayCloseAtStop(Start + 4s));
}

TEST_F(CallerConnectionState, ARequestThatTheStopHasEndedIsNotEndedAgain)
{
    EXPECT_FALSE(state.isEnding());
    state.endForStop();
    state.completeResponse(after_response::Close, true, Start);
    EXPECT_TRUE(state.isEnding());
}

TEST(NewCallerConnection, IsNotClosedByAStopBeforeItsFirstRequestCanArrive)
{
    caller_connection_state state { Start };
    EXPECT_FALSE(state.mayCloseAtStop(Start));
    EXPECT_TRUE(state.mayCloseAtStop(Start + 300ms));
    state.receiveInput(Start);
    EXPECT_FALSE(state.mayCloseAtStop(Start + 300ms));
    state.close();
    EXPECT_TRUE(state.isEnding());
}

} // namespace
