#include "core/call_coordinator_call.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace oriolepick {

namespace {

    /// Further followers receive no notice and get the outcome by polling the row.
    constexpr std::size_t MaxFollowersPerClaim = 64;

} // namespace

call_coordinator::call_coordinator(node_id node, std::uint64_t incarnation, call_settings settings,
    committer_settings committer, const call_row_codec& codec, std::uint64_t seed)
    : m_node(std::move(node))
    , m_incarnationPrefix(m_node.value() + "/" + std::to_string(incarnation) + "/")
    , m_nodePrefix(m_node.value() + "/")
    , m_settings(settings)
    , m_codec(codec)
    , m_committer(committer, seed)
{
}

call_coordinator::~call_coordinator() = default;

call_coordinator::open_call* call_coordinator::find(call_number number)
{
    const auto found = m_calls.find(number);
    return found == m_calls.end() ? nullptr : found->second.get();
}

call_coordinator::open_call& call_coordinator::create(call_request request, std::string claimId)
{
    const auto number = ++m_lastNumber;
    m_callByClaimId[claimId] = number;
    auto& slot = m_calls[number];
    slot = std::make_unique<open_call>(number, m_settings, std::move(request), m_node, std::move(claimId));
    return *slot;
}

std::pair<call_number, coordinator_actions> call_coordinator::open(clock_reading time, call_request request)
{
    ++m_counters.opened;
    auto& call = create(std::move(request), m_incarnationPrefix + std::to_string(m_lastNumber + 1));
    const auto number = call.number;
    coordinator_actions out;
    executeActions(time, call, call.claim.start(time), out);
    commitIfDue(time, out);
    return { number, std::move(out) };
}

std::pair<call_number, coordinator_actions> call_coordinator::openRefused(
    clock_reading time, call_request request, error reason)
{
    ++m_counters.opened;
    auto& call = create(std::move(request), m_incarnationPrefix + std::to_string(m_lastNumber + 1));
    const auto number = call.number;
    coordinator_actions out;
    executeActions(time, call, call.claim.refuse(time, std::move(reason)), out);
    commitIfDue(time, out);
    return { number, std::move(out) };
}

coordinator_actions call_coordinator::commitFinished(clock_reading time, const result<table_outcome>& outcome)
{
    coordinator_actions out;
    for (const auto& completion : m_committer.finishCommit(time.now, outcome)) {
        auto* call = find(completion.owner);
        if (!call)
            continue;
        switch (completion.end) {
        case write_status::Written:
            executeActions(time, *call, call->claim.rowWritten(time, completion.version), out);
            break;
        case write_status::Conflicted:
            executeActions(time, *call, call->claim.rowConflicted(time), out);
            break;
        case write_status::Rejected:
            executeActions(time, *call, call->claim.rowDropped(time), out);
            break;
        }
    }
    commitIfDue(time, out);
    return out;
}

coordinator_actions call_coordinator::rowRead(
    clock_reading time, call_number number, const result<std::optional<table_row>>& outcome, store_epoch epoch)
{
    coordinator_actions out;
    auto* call = find(number);
    if (!call)
        return out;
    if (!outcome) {
        executeActions(time, *call, call->claim.readFailed(time), out);
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
    executeActions(time, *call, call->claim.rowRead(time, found, epoch), out);
    commitIfDue(time, out);
    return out;
}

coordinator_actions call_coordinator::targetChosen(clock_reading time, call_number number, const target_id& target)
{
    coordinator_actions out;
    if (auto* call = find(number))
        executeActions(time, *call, call->claim.targetChosen(time, target), out);
    commitIfDue(time, out);
    return out;
}

coordinator_actions call_coordinator::noTarget(
    clock_reading time, call_number number, std::chrono::milliseconds retryAfter)
{
    coordinator_actions out;
    if (auto* call = find(number))
        executeActions(time, *call, call->claim.noTarget(time, retryAfter), out);
    commitIfDue(time, out);
    return out;
}

coordinator_actions call_coordinator::dispatchUnsent(clock_reading time, call_number number)
{
    coordinator_actions out;
    if (auto* call = find(number))
        executeActions(time, *call, call->claim.dispatchUnsent(time), out);
    commitIfDue(time, out);
    return out;
}

coordinator_actions call_coordinator::dispatchAnswered(clock_reading time, call_number number, call_answer answer)
{
    coordinator_actions out;
    if (auto* call = find(number))
        executeActions(time, *call, call->claim.dispatchAnswered(time, std::move(answer)), out);
    commitIfDue(time, out);
    return out;
}

coordinator_actions call_coordinator::dispatchInterrupted(clock_reading time, call_number number)
{
    coordinator_actions out;
    if (auto* call = find(number))
        executeActions(time, *call, call->claim.dispatchInterrupted(time), out);
    commitIfDue(time, out);
    return out;
}

coordinator_actions call_coordinator::claimInquiry(
    clock_reading time, const node_id& follower, const request_key& key, const std::string& claimId)
{
    coordinator_actions out;
    const auto found = m_callByClaimId.find(claimId);
    if (found != m_callByClaimId.end()) {
        auto& call = *m_calls.at(found->second);
        if (call.claim.finalRow()) {
            out.emplace_back(send_claim_notice { follower, key, *call.claim.finalRow() });
            return out;
        }
        auto& followers = call.followers;
        const bool known = std::find(followers.begin(), followers.end(), follower) != followers.end();
        if (!known && followers.size() < MaxFollowersPerClaim)
            followers.push_back(follower);
        return out;
    }
    if (!absl::StartsWith(claimId, m_nodePrefix)) {
        ++m_counters.unknownClaimInquiries;
        return out;
    }
    // A closed call of this process was recorded or never sent; a call of an earlier process may have been sent.
    recover(time, follower, key, claimId, !absl::StartsWith(claimId, m_incarnationPrefix), out);
    return out;
}

void call_coordinator::recover(clock_reading time, const node_id& follower, const request_key& key,
    const std::string& claimId, bool mayHaveDispatched, coordinator_actions& out)
{
    ++m_counters.recoveries;
    call_request request;
    request.key = key;
    auto& call = create(std::move(request), claimId);
    call.followers.push_back(follower);
    executeActions(time, call, call.claim.recover(time, mayHaveDispatched), out);
}

coordinator_actions call_coordinator::claimNotice(clock_reading time, const call_row& row)
{
    coordinator_actions out;
    const auto found = m_followersByClaimId.find(row.claimId);
    if (found == m_followersByClaimId.end())
        return out;
    const auto numbers = found->second;
    for (const auto number : numbers) {
        if (auto* call = find(number))
            executeActions(time, *call, call->claim.followedClaimEnded(time, row), out);
    }
    return out;
}

coordinator_actions call_coordinator::nodeLost(clock_reading time, const node_id& node)
{
    std::vector<call_number> numbers;
    for (const auto& [claimId, followers] : m_followersByClaimId) {
        for (const auto number : followers) {
            const auto* call = find(number);
            if (call && call->followedNode == node)
                numbers.push_back(number);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    coordinator_actions out;
    for (const auto number : numbers) {
        if (auto* call = find(number))
            executeActions(time, *call, call->claim.claimerLost(time), out);
    }
    return out;
}

coordinator_actions call_coordinator::tick(clock_reading time)
{
    coordinator_actions out;
    std::vector<call_number> due;
    for (const auto& [at, number] : m_timers) {
        if (at > time.now)
            break;
        due.push_back(number);
    }
    for (const auto number : due) {
        if (auto* call = find(number))
            executeActions(time, *call, call->claim.timerFired(time), out);
    }
    commitIfDue(time, out);
    return out;
}

std::optional<instant> call_coordinator::wakeAt() const
{
    auto wake = m_committer.wakeAt();
    if (!m_timers.empty())
        wake = wake ? std::min(*wake, m_timers.begin()->first) : m_timers.begin()->first;
    return wake;
}

} // namespace oriolepick
