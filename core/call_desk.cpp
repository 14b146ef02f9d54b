#include "core/call_desk_call.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace oriolepick {

namespace {

    /// Further followers receive no notice and get the outcome by polling the row.
    constexpr std::size_t MaxFollowers = 64;

} // namespace

call_desk::call_desk(node_id node, std::uint64_t incarnation, call_settings settings, committer_settings committer,
    const call_row_codec& codec, std::uint64_t seed)
    : m_node(std::move(node))
    , m_incarnationPrefix(m_node.value() + "/" + std::to_string(incarnation) + "/")
    , m_nodePrefix(m_node.value() + "/")
    , m_settings(settings)
    , m_codec(codec)
    , m_committer(committer, seed)
{
}

call_desk::~call_desk() = default;

call_desk::open_call* call_desk::find(call_number number)
{
    const auto found = m_calls.find(number);
    return found == m_calls.end() ? nullptr : found->second.get();
}

call_desk::open_call& call_desk::create(call_request request, std::string claimId)
{
    const auto number = ++m_lastNumber;
    m_byClaim[claimId] = number;
    auto& slot = m_calls[number];
    slot = std::make_unique<open_call>(number, m_settings, std::move(request), m_node, std::move(claimId));
    return *slot;
}

std::pair<call_number, desk_actions> call_desk::open(claim_time time, call_request request)
{
    ++m_counters.opened;
    auto& call = create(std::move(request), m_incarnationPrefix + std::to_string(m_lastNumber + 1));
    const auto number = call.number;
    desk_actions out;
    apply(time, call, call.claim.start(time), out);
    commitIfDue(time, out);
    return { number, std::move(out) };
}

std::pair<call_number, desk_actions> call_desk::openRefused(claim_time time, call_request request, error reason)
{
    ++m_counters.opened;
    auto& call = create(std::move(request), m_incarnationPrefix + std::to_string(m_lastNumber + 1));
    const auto number = call.number;
    desk_actions out;
    apply(time, call, call.claim.refuse(time, std::move(reason)), out);
    commitIfDue(time, out);
    return { number, std::move(out) };
}

desk_actions call_desk::commitFinished(claim_time time, const result<table_outcome>& outcome)
{
    desk_actions out;
    for (const auto& completion : m_committer.finishCommit(time.now, outcome)) {
        auto* call = find(completion.owner);
        if (!call)
            continue;
        switch (completion.end) {
        case write_end::Written:
            apply(time, *call, call->claim.rowWritten(time, completion.version), out);
            break;
        case write_end::Conflicted:
            apply(time, *call, call->claim.rowConflicted(time), out);
            break;
        case write_end::Rejected:
            apply(time, *call, call->claim.rowDropped(time), out);
            break;
        }
    }
    commitIfDue(time, out);
    return out;
}

desk_actions call_desk::rowRead(claim_time time, call_number number, const result<std::optional<table_row>>& outcome)
{
    desk_actions out;
    auto* call = find(number);
    if (!call)
        return out;
    if (!outcome) {
        apply(time, *call, call->claim.readFailed(time), out);
        return out;
    }
    std::optional<versioned_call_row> found;
    if (outcome.value()) {
        found.emplace();
        found->version = outcome.value()->version;
        auto decoded = m_codec.decode(outcome.value()->value);
        if (decoded) {
            found->row = std::move(decoded.value());
        } else {
            // A malformed row proves nothing, so the call has an unknown outcome.
            ++m_counters.malformedRows;
            found->row.state = call_row_state::MayHaveRun;
            found->row.bodyDigest = call->claim.request().bodyDigest;
        }
    }
    apply(time, *call, call->claim.rowRead(time, found), out);
    commitIfDue(time, out);
    return out;
}

desk_actions call_desk::targetChosen(claim_time time, call_number number, const target_id& target)
{
    desk_actions out;
    if (auto* call = find(number))
        apply(time, *call, call->claim.targetChosen(time, target), out);
    commitIfDue(time, out);
    return out;
}

desk_actions call_desk::noTarget(claim_time time, call_number number, std::chrono::milliseconds retryAfter)
{
    desk_actions out;
    if (auto* call = find(number))
        apply(time, *call, call->claim.noTarget(time, retryAfter), out);
    commitIfDue(time, out);
    return out;
}

desk_actions call_desk::dispatchUnsent(claim_time time, call_number number)
{
    desk_actions out;
    if (auto* call = find(number))
        apply(time, *call, call->claim.dispatchUnsent(time), out);
    commitIfDue(time, out);
    return out;
}

desk_actions call_desk::dispatchAnswered(claim_time time, call_number number, call_answer answer)
{
    desk_actions out;
    if (auto* call = find(number))
        apply(time, *call, call->claim.dispatchAnswered(time, std::move(answer)), out);
    commitIfDue(time, out);
    return out;
}

desk_actions call_desk::dispatchBroken(claim_time time, call_number number)
{
    desk_actions out;
    if (auto* call = find(number))
        apply(time, *call, call->claim.dispatchBroken(time), out);
    commitIfDue(time, out);
    return out;
}

desk_actions call_desk::inquiry(
    claim_time time, const node_id& follower, const request_key& key, const std::string& claimId)
{
    desk_actions out;
    const auto found = m_byClaim.find(claimId);
    if (found != m_byClaim.end()) {
        auto& call = *m_calls.at(found->second);
        if (call.claim.ending()) {
            out.emplace_back(tell_follower { follower, key, *call.claim.ending() });
            return out;
        }
        auto& followers = call.followers;
        const bool known = std::find(followers.begin(), followers.end(), follower) != followers.end();
        if (!known && followers.size() < MaxFollowers)
            followers.push_back(follower);
        return out;
    }
    if (!absl::StartsWith(claimId, m_nodePrefix)) {
        ++m_counters.foreignInquiries;
        return out;
    }
    // A closed call of this process was recorded or never sent; a call of an earlier process may have been sent.
    recover(time, follower, key, claimId, !absl::StartsWith(claimId, m_incarnationPrefix), out);
    return out;
}

void call_desk::recover(claim_time time, const node_id& follower, const request_key& key, const std::string& claimId,
    bool mayHaveDispatched, desk_actions& out)
{
    ++m_counters.recoveries;
    call_request request;
    request.key = key;
    auto& call = create(std::move(request), claimId);
    call.followers.push_back(follower);
    apply(time, call, call.claim.recover(time, mayHaveDispatched), out);
}

desk_actions call_desk::notice(claim_time time, const call_row& row)
{
    desk_actions out;
    const auto found = m_following.find(row.claimId);
    if (found == m_following.end())
        return out;
    const auto numbers = found->second;
    for (const auto number : numbers) {
        if (auto* call = find(number))
            apply(time, *call, call->claim.claimerNotice(time, row), out);
    }
    return out;
}

desk_actions call_desk::nodeGone(claim_time time, const node_id& node)
{
    std::vector<call_number> numbers;
    for (const auto& [claimId, followers] : m_following) {
        for (const auto number : followers) {
            const auto* call = find(number);
            if (call && call->followedNode == node)
                numbers.push_back(number);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    desk_actions out;
    for (const auto number : numbers) {
        if (auto* call = find(number))
            apply(time, *call, call->claim.claimerGone(time), out);
    }
    return out;
}

desk_actions call_desk::tick(claim_time time)
{
    desk_actions out;
    std::vector<call_number> due;
    for (const auto& [at, number] : m_timers) {
        if (at > time.now)
            break;
        due.push_back(number);
    }
    for (const auto number : due) {
        if (auto* call = find(number))
            apply(time, *call, call->claim.timerFired(time), out);
    }
    commitIfDue(time, out);
    return out;
}

std::optional<instant> call_desk::wakeAt() const
{
    auto wake = m_committer.wakeAt();
    if (!m_timers.empty())
        wake = wake ? std::min(*wake, m_timers.begin()->first) : m_timers.begin()->first;
    return wake;
}

} // namespace oriolepick
