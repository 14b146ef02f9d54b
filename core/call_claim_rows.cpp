/// \file
/// How a call_claim goes on after it learned what the table holds.
#include "core/call_claim.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

call_row call_claim::makeRow(goal wanted, wall_time wall) const
{
    call_row row;
    row.claimId = m_claimId;
    row.bodyDigest = m_request.bodyDigest;
    row.node = m_node;
    row.at = wall;
    if (wanted == goal::Refuse) {
        row.state = call_row_state::Refused;
        row.at = wall + m_settings.refusalValidity;
    } else if (wanted == goal::Record) {
        row.state = m_answer ? call_row_state::Answered : call_row_state::MayHaveRun;
        if (m_answer)
            row.answer = *m_answer;
    }
    return row;
}

void call_claim::writeRow(clock_reading time, claim_actions& actions)
{
    auto row = makeRow(m_goal, time.wall);
    if (m_goal == goal::Refuse)
        m_refusedUntil = row.at;
    m_writeGoal = m_goal;
    m_step = step::Writing;
    m_retryAt.reset();
    actions.emplace_back(write_call_row { m_version, std::move(row) });
}

void call_claim::readRow(claim_actions& actions)
{
    m_step = step::Reading;
    m_retryAt.reset();
    actions.emplace_back(read_call_row {});
}

void call_claim::retryLater(clock_reading time)
{
    m_step = step::Waiting;
    m_retryDelay
        = m_retryDelay.count() ? std::min(m_retryDelay * 2, m_settings.maxRetryDelay) : m_settings.minRetryDelay;
    m_retryAt = time.now + m_retryDelay;
}

void call_claim::requestPlacement(claim_actions& actions)
{
    m_step = step::Placing;
    m_replyDeadline = m_request.deadline;
    actions.emplace_back(choose_call_target { m_unsentTargets });
}

void call_claim::beginRefusal(clock_reading time, error reason, claim_actions& actions)
{
    m_goal = goal::Refuse;
    m_reason = std::move(reason);
    m_replyDeadline = time.now + m_settings.refusalTimeout;
    const bool notStarted = m_step == step::Idle;
    // Nobody else can use a key that this node made and has not told to anyone, so it needs no proof in the table.
    if (!m_request.callerSuppliedKey) {
        respond(*m_reason, actions);
        if (notStarted) {
            finish();
            return;
        }
    }
    if (m_step == step::Writing)
        actions.emplace_back(withdraw_call_row {});
    else if (notStarted || m_step == step::Placing)
        writeRow(time, actions);
}

void call_claim::beginRecord(clock_reading time, claim_actions& actions)
{
    m_goal = goal::Record;
    m_replyDeadline = time.now + m_settings.recordTimeout;
    writeRow(time, actions);
}

void call_claim::handleOwnRow(clock_reading time, const versioned_call_row& found, claim_actions& actions)
{
    m_version = found.version;
    m_request.bodyDigest = found.row.bodyDigest;
    if (found.row.state == call_row_state::Claimed) {
        if (m_goal == goal::Claim)
            requestPlacement(actions);
        else
            writeRow(time, actions);
        return;
    }
    if (found.row.state == call_row_state::Refused && m_goal != goal::Record) {
        m_goal = goal::Refuse;
        m_refusedUntil = found.row.at;
        if (!m_reason)
            m_reason = earlierRefusalError(time.wall, found.row.at);
        reportRefusal(time, actions);
        return;
    }
    // Recorded by this object, or as "may have run" by a later incarnation of this node.
    publishFinalRow(found.row, actions);
    respond(outcomeReply(), actions);
    finish();
}

void call_claim::handleOtherRow(clock_reading time, const versioned_call_row& found, claim_actions& actions)
{
    if (m_responded || m_goal == goal::Record) {
        // An abandoned claim that did not win needs no row; a recorded one was collected as garbage after its time.
        respond(outcomeReply(), actions);
        finish();
        return;
    }
    if (found.row.bodyDigest != m_request.bodyDigest) {
        respond(error { error_kind::KeyReused, "Idempotency-Key: used before with a different request", {} }, actions);
        finish();
        return;
    }
    switch (found.row.state) {
    case call_row_state::Claimed:
        followOtherClaim(time, found.row, actions);
        return;
    case call_row_state::Refused:
        handleOtherRefusal(time, found, actions);
        return;
    case call_row_state::Answered:
        respond(found.row.answer, actions);
        break;
    case call_row_state::MayHaveRun:
        respond(outcomeReply(), actions);
        break;
    }
    finish();
}

void call_claim::handleOtherRefusal(clock_reading time, const versioned_call_row& found, claim_actions& actions)
{
    m_version = found.version;
    m_followedClaimId.clear();
    if (m_goal == goal::Claim && m_request.arrival > found.row.at + m_settings.clockSkew) {
        m_replyDeadline = std::min(m_request.deadline, time.now + m_settings.claimTimeout);
        writeRow(time, actions);
        return;
    }
    if (m_goal == goal::Claim) {
        m_goal = goal::Refuse;
        m_reason = earlierRefusalError(time.wall, found.row.at);
        m_replyDeadline = time.now + m_settings.refusalTimeout;
    }
    if (time.wall > found.row.at) {
        // The old refusal excludes only requests that arrived before it; this one needs a proof of its own.
        writeRow(time, actions);
        return;
    }
    respond(*m_reason, actions);
    finish();
}

void call_claim::reportRefusal(clock_reading time, claim_actions& actions)
{
    if (!m_responded && time.wall > m_refusedUntil) {
        // Told now, the refusal would not exclude a duplicate that arrived since the row was built.
        writeRow(time, actions);
        return;
    }
    auto row = makeRow(goal::Refuse, time.wall);
    row.at = m_refusedUntil;
    publishFinalRow(row, actions);
    if (m_reason) {
        const auto untilClaimable
            = std::chrono::duration_cast<std::chrono::milliseconds>(m_refusedUntil + m_settings.clockSkew - time.wall);
        m_reason->retryAfter = std::max(m_reason->retryAfter, untilClaimable);
        respond(*m_reason, actions);
    }
    finish();
}

void call_claim::followOtherClaim(clock_reading time, const call_row& row, claim_actions& actions)
{
    if (m_followedNodeLost && row.claimId == m_followedClaimId) {
        respond(outcomeReply(), actions);
        finish();
        return;
    }
    m_followedNodeLost = false;
    m_followedClaimId = row.claimId;
    m_followedNode = row.node;
    m_step = step::Following;
    m_replyDeadline = m_request.deadline;
    m_retryAt = time.now + m_settings.followPollInterval;
    actions.emplace_back(follow_claim { row.node, row.claimId });
}

void call_claim::handleReplyTimeout(clock_reading time, claim_actions& actions)
{
    if (m_step == step::Dispatched) {
        respond(
            error { error_kind::DeadlineExceeded, "the call is still running; ask for its key later", {} }, actions);
        return;
    }
    if (m_step == step::Placing) {
        beginRefusal(time, { error_kind::QueueTimeout, "the deadline passed before the dispatch", {} }, actions);
        return;
    }
    if (!m_followedClaimId.empty()) {
        respond(outcomeReply(), actions);
        finish();
        return;
    }
    if (m_goal == goal::Record) {
        publishFinalRow(makeRow(goal::Record, time.wall), actions);
        respond(outcomeReply(), actions);
        return;
    }
    respond(claimUnavailableError(), actions);
    if (m_goal == goal::Refuse)
        return;
    m_goal = goal::Refuse; // this claim will never be dispatched, whatever became of its write
    if (m_step == step::Writing)
        actions.emplace_back(withdraw_call_row {});
}

void call_claim::respond(call_reply reply, claim_actions& actions)
{
    if (m_responded)
        return;
    m_responded = true;
    actions.emplace_back(respond_call { std::move(reply) });
}

void call_claim::publishFinalRow(const call_row& row, claim_actions& actions)
{
    if (m_finalRow)
        return;
    m_finalRow = row;
    actions.emplace_back(notify_followers { row });
}

void call_claim::finish()
{
    m_step = step::Finished;
    m_retryAt.reset();
}

call_reply call_claim::outcomeReply() const
{
    if (m_answer)
        return *m_answer;
    return error { error_kind::OutcomeUnknown, "the call may have run; ask for its key later", m_settings.retryAfter };
}

error call_claim::claimUnavailableError() const
{
    // Only a key that this node made is surely used nowhere else.
    if (!m_request.callerSuppliedKey)
        return { error_kind::PlatformUnavailable, "the call could not be claimed", m_settings.retryAfter };
    return { error_kind::ClaimUnavailable, "the key's record cannot be reached", m_settings.retryAfter };
}

error call_claim::earlierRefusalError(wall_time wall, wall_time refusedUntil) const
{
    const auto untilClaimable
        = std::chrono::duration_cast<std::chrono::milliseconds>(refusedUntil + m_settings.clockSkew - wall);
    return { error_kind::Overloaded, "an earlier request with this key was refused",
        std::max(untilClaimable, m_settings.retryAfter) };
}

} // namespace oriolepick
