// Guards the time-dependent decisions of one call: no "not run" response from an outdated refusal, no dispatch after
// the deadline, and the states that a recovery writes.
#include "core/call_claim.h"

#include <gtest/gtest.h>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

clock_reading at(int ms)
{
    return { instant(milliseconds(ms)), wall_time(milliseconds(1'000'000 + ms)) };
}

call_request request()
{
    return { { team_id(fleet_name("atelier"), "desk"), "k" }, true, 7, at(0).wall, at(5000).now };
}

template <typename Action> const Action* only(const claim_actions& actions)
{
    return actions.size() == 1 ? std::get_if<Action>(actions.data()) : nullptr;
}

versioned_call_row stored(call_row_state state, const std::string& claimId)
{
    versioned_call_row found;
    found.row.state = state;
    found.row.claimId = claimId;
    found.row.bodyDigest = 7;
    found.version = store_version(0, 3);
    return found;
}

class call_claim_rules : public ::testing::Test {
protected:
    call_settings m_settings;
    call_claim m_claim { m_settings, request(), node_id("n"), "n/1/1" };
};

} // namespace

TEST_F(call_claim_rules, a_refusal_that_was_written_too_slowly_is_written_again)
{
    const auto first = m_claim.refuse(at(0), { error_kind::LimitExceeded, "limit", {} });
    ASSERT_TRUE(only<write_call_row>(first));
    const auto second = m_claim.rowWritten(at(1001), store_version(0, 1));
    const auto* write = only<write_call_row>(second);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->version, store_version(0, 1));
    EXPECT_EQ(write->row.at, at(2001).wall);
    const auto response = m_claim.rowWritten(at(1500), store_version(0, 2));
    EXPECT_FALSE(m_claim.timerAt());
    ASSERT_EQ(response.size(), 2u);
    EXPECT_EQ(std::get<respond_call>(response[1]).reply.error().kind, error_kind::LimitExceeded);
    EXPECT_EQ(std::get<respond_call>(response[1]).reply.error().retryAfter, milliseconds(1501));
}

TEST_F(call_claim_rules, a_call_placed_after_its_deadline_is_refused_instead_of_sent)
{
    m_claim.start(at(0));
    ASSERT_TRUE(only<choose_call_target>(m_claim.rowWritten(at(10), store_version(0, 1))));
    const auto late = m_claim.targetChosen(at(5000), target_id(fleet_name("atelier"), "t"));
    ASSERT_TRUE(only<write_call_row>(late));
    EXPECT_EQ(only<write_call_row>(late)->row.state, call_row_state::Refused);
}

TEST_F(call_claim_rules, a_claim_found_again_after_a_lost_response_is_dispatched_once)
{
    m_claim.start(at(0));
    ASSERT_TRUE(only<read_call_row>(m_claim.rowConflicted(at(10))));
    ASSERT_TRUE(only<choose_call_target>(m_claim.rowRead(at(20), stored(call_row_state::Claimed, "n/1/1"))));
    const target_id target(fleet_name("atelier"), "t");
    EXPECT_TRUE(only<dispatch_call>(m_claim.targetChosen(at(30), target)));
    EXPECT_TRUE(m_claim.targetChosen(at(30), target).empty());
    EXPECT_TRUE(m_claim.rowRead(at(31), stored(call_row_state::Claimed, "n/1/1")).empty());
}

TEST_F(call_claim_rules, a_recovery_writes_refused_only_for_a_call_that_was_surely_not_sent)
{
    for (const bool mayHaveDispatched : { false, true }) {
        call_claim recovery(m_settings, { request().key, true, 0, {}, {} }, node_id("n"), "n/1/1");
        ASSERT_TRUE(only<read_call_row>(recovery.recover(at(0), mayHaveDispatched)));
        const auto actions = recovery.rowRead(at(10), stored(call_row_state::Claimed, "n/1/1"));
        const auto* write = only<write_call_row>(actions);
        ASSERT_TRUE(write);
        EXPECT_EQ(write->version, store_version(0, 3));
        EXPECT_EQ(write->row.bodyDigest, 7u);
        EXPECT_EQ(write->row.state, mayHaveDispatched ? call_row_state::MayHaveRun : call_row_state::Refused);
    }
}

TEST_F(call_claim_rules, a_claim_recovered_by_a_later_process_is_not_dispatched)
{
    m_claim.start(at(0));
    m_claim.rowConflicted(at(10));
    const auto actions = m_claim.rowRead(at(20), stored(call_row_state::MayHaveRun, "n/1/1"));
    ASSERT_EQ(actions.size(), 2u);
    EXPECT_EQ(std::get<respond_call>(actions[1]).reply.error().kind, error_kind::OutcomeUnknown);
    EXPECT_TRUE(m_claim.finished());
}

TEST_F(call_claim_rules, an_answer_whose_write_was_dropped_is_written_later_and_returned_in_time)
{
    m_claim.start(at(0));
    m_claim.rowWritten(at(10), store_version(0, 1));
    m_claim.targetChosen(at(20), target_id(fleet_name("atelier"), "t"));
    const call_answer answer { 201, "text/plain", "done" };
    ASSERT_TRUE(only<write_call_row>(m_claim.dispatchAnswered(at(30), answer)));
    EXPECT_TRUE(m_claim.rowDropped(at(40)).empty());
    EXPECT_FALSE(m_claim.finished());
    ASSERT_TRUE(m_claim.timerAt());
    const auto again = m_claim.timerFired({ *m_claim.timerAt(), at(0).wall });
    ASSERT_TRUE(only<write_call_row>(again));
    EXPECT_EQ(only<write_call_row>(again)->row.answer, answer);
    const auto response = m_claim.timerFired(at(1030)); // the row is still not written
    ASSERT_EQ(response.size(), 2u);
    EXPECT_EQ(std::get<respond_call>(response[1]).reply.value(), answer);
    EXPECT_FALSE(m_claim.finished());
}

TEST_F(call_claim_rules, an_outcome_is_recorded_although_a_restored_store_forgot_the_claim)
{
    m_claim.start(at(0));
    m_claim.rowWritten(at(10), store_version(1, 1));
    m_claim.targetChosen(at(20), target_id(fleet_name("atelier"), "t"));
    const call_answer answer { 201, "text/plain", "done" };
    m_claim.dispatchAnswered(at(30), answer);
    m_claim.rowConflicted(at(40));
    const auto actions = m_claim.rowRead(at(50), std::nullopt, 2);
    const auto* write = only<write_call_row>(actions);
    ASSERT_TRUE(write) << "a retry of the call would run it again";
    EXPECT_FALSE(write->version);
    EXPECT_EQ(write->row.answer, answer);
    m_claim.rowWritten(at(60), store_version(2, 1));
    EXPECT_TRUE(m_claim.finished());
}

TEST_F(call_claim_rules, an_outcome_that_was_collected_is_not_recorded_again)
{
    m_claim.start(at(0));
    m_claim.rowWritten(at(10), store_version(1, 1));
    m_claim.targetChosen(at(20), target_id(fleet_name("atelier"), "t"));
    m_claim.dispatchAnswered(at(30), { 201, "text/plain", "done" });
    m_claim.rowConflicted(at(40));
    EXPECT_TRUE(only<respond_call>(m_claim.rowRead(at(50), std::nullopt, 1)));
    EXPECT_TRUE(m_claim.finished());
}

TEST_F(call_claim_rules, a_follower_of_a_dead_claimer_is_answered_at_once)
{
    m_claim.start(at(0));
    m_claim.rowConflicted(at(10));
    const auto other = stored(call_row_state::Claimed, "m/1/1");
    ASSERT_TRUE(only<follow_claim>(m_claim.rowRead(at(20), other)));
    ASSERT_TRUE(only<read_call_row>(m_claim.claimerLost(at(30))));
    const auto actions = m_claim.rowRead(at(40), other);
    ASSERT_TRUE(only<respond_call>(actions));
    EXPECT_EQ(only<respond_call>(actions)->reply.error().kind, error_kind::OutcomeUnknown);
}
