/// \file
/// How a call_coordinator executes the actions of its calls.
#include "core/call_coordinator_call.h"

#include <algorithm>

namespace oriolepick {

namespace {

    template <typename... Handlers> struct overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

void call_coordinator::executeActions(
    clock_reading time, open_call& call, claim_actions actions, coordinator_actions& out)
{
    const auto number = call.number;
    for (auto& action : actions) {
        executeAction(time, call, action, out);
        // A nested step (a dropped write, a notice to a local follower) may have closed this call.
        if (!find(number))
            return;
    }
    closeOrReschedule(call);
}

void call_coordinator::executeAction(
    clock_reading time, open_call& call, claim_action& action, coordinator_actions& out)
{
    std::visit(overloaded {
                   [&](const write_call_row& write) { writeRow(time, call, write, out); },
                   [&](const withdraw_call_row&) {
                       if (m_committer.withdraw(call.number))
                           executeActions(time, call, call.claim.rowDropped(time), out);
                   },
                   [&](const read_call_row&) {
                       ++m_counters.reads;
                       out.emplace_back(fetch_call_row { call.number, callRowKey(call.claim.request().key) });
                   },
                   [&](choose_call_target& choice) {
                       out.emplace_back(place_call { call.number, std::move(choice.excluded) });
                   },
                   [&](dispatch_call& dispatch) {
                       out.emplace_back(send_call { call.number, std::move(dispatch.target) });
                   },
                   [&](const follow_claim& followed) { follow(call, followed, out); },
                   [&](respond_call& response) {
                       out.emplace_back(answer_caller { call.number, std::move(response.reply) });
                   },
                   [&](const notify_followers& notice) { notifyFollowers(call, notice.row, out); },
               },
        action);
}

void call_coordinator::writeRow(
    clock_reading time, open_call& call, const write_call_row& write, coordinator_actions& out)
{
    pending_write pending { call.number, callRowKey(call.claim.request().key), write.version, {} };
    pending.value = m_codec.encode(write.row);
    if (!m_committer.add(std::move(pending)))
        executeActions(time, call, call.claim.rowDropped(time), out);
}

void call_coordinator::follow(open_call& call, const follow_claim& followed, coordinator_actions& out)
{
    stopFollowing(call);
    call.followedClaimId = followed.claimId;
    call.followedNode = followed.node;
    m_followersByClaimId[followed.claimId].insert(call.number);
    out.emplace_back(send_claim_inquiry { followed.node, call.claim.request().key, followed.claimId });
}

void call_coordinator::stopFollowing(open_call& call)
{
    if (call.followedClaimId.empty())
        return;
    const auto found = m_followersByClaimId.find(call.followedClaimId);
    if (found != m_followersByClaimId.end()) {
        found->second.erase(call.number);
        if (found->second.empty())
            m_followersByClaimId.erase(found);
    }
    call.followedClaimId.clear();
}

void call_coordinator::notifyFollowers(open_call& call, const call_row& row, coordinator_actions& out)
{
    for (const auto& follower : call.followers)
        out.emplace_back(send_claim_notice { follower, call.claim.request().key, row });
    call.followers.clear();
}

void call_coordinator::closeOrReschedule(open_call& call)
{
    if (call.claim.finished()) {
        if (call.timer)
            m_timers.erase({ *call.timer, call.number });
        stopFollowing(call);
        m_callByClaimId.erase(call.claim.claimId());
        m_calls.erase(call.number);
        return;
    }
    const auto wanted = call.claim.timerAt();
    if (wanted == call.timer)
        return;
    if (call.timer)
        m_timers.erase({ *call.timer, call.number });
    if (wanted)
        m_timers.insert({ *wanted, call.number });
    call.timer = wanted;
}

void call_coordinator::commitIfDue(clock_reading time, coordinator_actions& out)
{
    if (auto transaction = m_committer.takeCommit(time.now))
        out.emplace_back(commit_call_rows { std::move(*transaction) });
}

} // namespace oriolepick
