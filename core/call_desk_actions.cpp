/// \file
/// Part of call_coordinator: execution of the actions of the calls.
#include "core/call_desk_call.h"

#include <algorithm>

namespace oriolepick {

namespace {

    template <typename... Handlers> struct overloaded : Handlers... {
        using Handlers::operator()...;
    };
    template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace

void call_desk::apply(claim_time time, open_call& call, claim_actions actions, desk_actions& out)
{
    const auto number = call.number;
    for (auto& action : actions) {
        applyOne(time, call, action, out);
        // A nested event (a dropped write, a notice to a local follower) may have closed this call.
        if (!find(number))
            return;
    }
    settleCall(call);
}

void call_desk::applyOne(claim_time time, open_call& call, claim_action& action, desk_actions& out)
{
    std::visit(overloaded {
                   [&](const write_call_row& write) { writeRow(time, call, write, out); },
                   [&](const withdraw_call_row&) {
                       if (m_committer.withdraw(call.number))
                           apply(time, call, call.claim.rowDropped(time), out);
                   },
                   [&](const read_call_row&) {
                       ++m_counters.reads;
                       out.emplace_back(read_desk_row { call.number, callRowKey(call.claim.request().key) });
                   },
                   [&](choose_call_target& choice) {
                       out.emplace_back(place_desk_call { call.number, std::move(choice.excluded) });
                   },
                   [&](dispatch_call& dispatch) {
                       out.emplace_back(send_desk_call { call.number, std::move(dispatch.target) });
                   },
                   [&](const follow_claim& followed) { follow(call, followed, out); },
                   [&](respond_call& response) {
                       out.emplace_back(answer_desk_call { call.number, std::move(response.reply) });
                   },
                   [&](const notify_followers& notice) { notifyAll(call, notice.row, out); },
               },
        action);
}

void call_desk::writeRow(claim_time time, open_call& call, const write_call_row& write, desk_actions& out)
{
    pending_write pending { call.number, callRowKey(call.claim.request().key), write.version, {} };
    pending.value = m_codec.encode(write.row);
    if (!m_committer.add(std::move(pending)))
        apply(time, call, call.claim.rowDropped(time), out);
}

void call_desk::follow(open_call& call, const follow_claim& followed, desk_actions& out)
{
    stopFollowing(call);
    call.following = followed.claimId;
    call.followedNode = followed.node;
    m_following[followed.claimId].insert(call.number);
    out.emplace_back(ask_claimer { followed.node, call.claim.request().key, followed.claimId });
}

void call_desk::stopFollowing(open_call& call)
{
    if (call.following.empty())
        return;
    const auto found = m_following.find(call.following);
    if (found != m_following.end()) {
        found->second.erase(call.number);
        if (found->second.empty())
            m_following.erase(found);
    }
    call.following.clear();
}

void call_desk::notifyAll(open_call& call, const call_row& row, desk_actions& out)
{
    for (const auto& follower : call.followers)
        out.emplace_back(tell_follower { follower, call.claim.request().key, row });
    call.followers.clear();
}

void call_desk::settleCall(open_call& call)
{
    if (call.claim.finished()) {
        if (call.timer)
            m_timers.erase({ *call.timer, call.number });
        stopFollowing(call);
        m_byClaim.erase(call.claim.claimId());
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

void call_desk::commitIfDue(claim_time time, desk_actions& out)
{
    if (auto transaction = m_committer.takeCommit(time.now))
        out.emplace_back(commit_call_rows { std::move(*transaction) });
}

} // namespace oriolepick
