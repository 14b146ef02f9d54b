#include "core/call_claim.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

call_claim::call_claim(const call_settings& settings, call_request request, node_id node, std::string claimId)
    : m_settings(settings)
    , m_request(std::move(request))
    , m_node(std::move(node))
    , m_claimId(std::move(claimId))
{
}

claim_actions call_claim::start(clock_reading time)
{
    claim_actions actions;
    if (m_step != step::Idle)
        return actions;
    m_replyDeadline = std::min(m_request.deadline, time.now + m_settings.claimTimeout);
    writeRow(time, actions);
    return actions;
}

claim_actions call_claim::refuse(clock_reading time, error reason)
{
    claim_actions actions;
    const bool undispatched = m_goal == goal::Claim && m_step != step::Dispatched && m_step != step::Finished;
    if (undispatched && m_followedClaimId.empty())
        beginRefusal(time, std::move(reason), actions);
    return actions;
}

claim_actions call_claim::recover(clock_reading, bool mayHaveDispatched)
{
    claim_actions actions;
    m_responded = true;
    m_goal = mayHaveDispatched ? goal::Record : goal::Refuse;
    readRow(actions);
    return actions;
}

claim_actions call_claim::rowWritten(clock_reading time, const store_version& version)
{
    claim_actions actions;
    if (m_step != step::Writing)
        return actions;
    if (m_writeGoal == goal::Record) {
        publishFinalRow(makeRow(goal::Record, time.wall), actions);
        respond(outcomeReply(), actions);
        finish();
        return actions;
    }
    if (!version.number()) {
        readRow(actions);
        return actions;
    }
    m_version = version;
    if (m_writeGoal == goal::Refuse)
        reportRefusal(time, actions);
    else if (m_goal == goal::Refuse)
        writeRow(time, actions);
    else
        requestPlacement(actions);
    return actions;
}

claim_actions call_claim::rowConflicted(clock_reading)
{
    claim_actions actions;
    if (m_step == step::Writing)
        readRow(actions);
    return actions;
}

claim_actions call_claim::rowDropped(clock_reading time)
{
    claim_actions actions;
    if (m_step != step::Writing)
        return actions;
    if (m_writeGoal == goal::Record) {
        // A dispatched call must not stay claimed, so the write is retried until it succeeds.
        retryLater(time);
        return actions;
    }
    if (m_goal == goal::Refuse && m_writeGoal == goal::Claim && !m_responded) {
        writeRow(time, actions);
        return actions;
    }
    respond(claimUnavailableError(), actions);
    finish();
    return actions;
}

claim_actions call_claim::rowRead(clock_reading time, const std::optional<versioned_call_row>& found, store_epoch epoch)
{
    claim_actions actions;
    if (m_step != step::Reading)
        return actions;
    m_retryDelay = std::chrono::milliseconds(0);
    if (found) {
        if (found->row.claimId == m_claimId)
            handleOwnRow(time, *found, actions);
        else
            handleOtherRow(time, *found, actions);
        return actions;
    }
    // Without a digest this is a recovery and not a caller's request, and a missing row leaves nothing to recover. The
    // row of a recorded call was removed by the garbage collector.
    // A store that came back from a copy may have forgotten the claim; a retry must find the outcome.
    const bool forgotten = m_goal == goal::Record && m_version && m_version->epoch() < epoch;
    if (!forgotten && (m_goal == goal::Record || (m_responded && !m_request.bodyDigest))) {
        respond(outcomeReply(), actions);
        finish();
        return actions;
    }
    m_followedClaimId.clear();
    m_version.reset();
    writeRow(time, actions);
    return actions;
}

claim_actions call_claim::readFailed(clock_reading time)
{
    if (m_step == step::Reading)
        retryLater(time);
    return {};
}

claim_actions call_claim::targetChosen(clock_reading time, const target_id& target)
{
    claim_actions actions;
    if (m_step != step::Placing)
        return actions;
    if (time.now >= m_request.deadline) {
        beginRefusal(time, { error_kind::QueueTimeout, "the deadline passed before the dispatch", {} }, actions);
        return actions;
    }
    m_target = target;
    m_step = step::Dispatched;
    actions.emplace_back(dispatch_call { target });
    return actions;
}

claim_actions call_claim::noTarget(clock_reading time, std::chrono::milliseconds retryAfter)
{
    claim_actions actions;
    if (m_step == step::Placing)
        beginRefusal(time, { error_kind::NoTarget, "no target can take the call", retryAfter }, actions);
    return actions;
}

claim_actions call_claim::dispatchUnsent(clock_reading time)
{
    claim_actions actions;
    if (m_step != step::Dispatched)
        return actions;
    m_unsentTargets.push_back(m_target);
    m_step = step::Placing;
    if (m_responded || m_unsentTargets.size() >= m_settings.maxPlacements)
        beginRefusal(time, { error_kind::NoTarget, "no target accepts a connection", m_settings.retryAfter }, actions);
    else
        requestPlacement(actions);
    return actions;
}

claim_actions call_claim::dispatchAnswered(clock_reading time, call_answer answer)
{
    claim_actions actions;
    if (m_step != step::Dispatched)
        return actions;
    m_answer = std::move(answer);
    beginRecord(time, actions);
    return actions;
}

claim_actions call_claim::dispatchInterrupted(clock_reading time)
{
    claim_actions actions;
    if (m_step != step::Dispatched)
        return actions;
    beginRecord(time, actions);
    publishFinalRow(makeRow(goal::Record, time.wall), actions);
    respond(outcomeReply(), actions);
    return actions;
}

claim_actions call_claim::followedClaimEnded(clock_reading, const call_row& row)
{
    claim_actions actions;
    if (m_step != step::Following || row.claimId != m_followedClaimId || row.state == call_row_state::Claimed)
        return actions;
    if (row.state == call_row_state::Refused) {
        readRow(actions); // this call may claim the key only with the current version of the row
        return actions;
    }
    respond(row.state == call_row_state::Answered ? call_reply(row.answer) : outcomeReply(), actions);
    finish();
    return actions;
}

claim_actions call_claim::claimerLost(clock_reading)
{
    claim_actions actions;
    if (m_step != step::Following)
        return actions;
    m_followedNodeLost = true;
    readRow(actions); // the claimer may have recorded the outcome before it was lost
    return actions;
}

claim_actions call_claim::timerFired(clock_reading time)
{
    claim_actions actions;
    if (m_step == step::Idle || m_step == step::Finished)
        return actions;
    if (!m_responded && time.now >= m_replyDeadline)
        handleReplyTimeout(time, actions);
    if (m_step == step::Finished || !m_retryAt || time.now < *m_retryAt)
        return actions;
    m_retryAt.reset();
    if (m_step == step::Following || (m_step == step::Waiting && m_goal != goal::Record))
        readRow(actions);
    else if (m_step == step::Waiting)
        writeRow(time, actions);
    return actions;
}

std::optional<instant> call_claim::timerAt() const
{
    if (m_step == step::Idle || m_step == step::Finished)
        return std::nullopt;
    if (m_responded)
        return m_retryAt;
    return m_retryAt ? std::min(*m_retryAt, m_replyDeadline) : m_replyDeadline;
}

} // namespace oriolepick
