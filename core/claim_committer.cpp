#include "core/claim_committer.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>

namespace oriolepick {

namespace {

    using fractional_seconds = std::chrono::duration<double>;

    /// The token bucket of an idle node holds the commits of this time, so that a call after a pause is not delayed by
    /// the rate limit.
    constexpr double BurstSeconds = 0.25;
    constexpr double MaxBurstCommits = 8;
    /// The claim and the answer of one call: with a burst of one commit, the rate limit delayed the answer at an idle
    /// node in a fleet of 370 nodes (response p50 1,025 ms).
    constexpr double MinBurstCommits = 2;

    double burstCapacity(double rate)
    {
        return std::clamp(rate * BurstSeconds, MinBurstCommits, MaxBurstCommits);
    }

} // namespace

claim_committer::claim_committer(committer_settings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

void claim_committer::setFleetSize(std::size_t nodes)
{
    m_nodes = std::max<std::size_t>(nodes, 1);
}

bool claim_committer::add(pending_write write)
{
    if (pendingRows() >= m_settings.maxPendingRows)
        return false;
    m_pending.push_back({ std::move(write), false, false });
    return true;
}

bool claim_committer::withdraw(std::uint64_t owner)
{
    const auto found = std::find_if(m_pending.begin(), m_pending.end(),
        [owner](const queued_write& pending) { return pending.write.owner == owner; });
    if (found == m_pending.end() || found->maybeApplied)
        return false;
    m_pending.erase(found);
    return true;
}

void claim_committer::refillTokens(instant now)
{
    const double rate = m_settings.fleetCommitsPerSecond / static_cast<double>(m_nodes);
    const fractional_seconds passed = now - m_refilledAt;
    m_refilledAt = now;
    m_tokens = std::min(burstCapacity(rate), m_tokens + passed.count() * rate);
}

std::optional<table_transaction> claim_committer::takeCommit(instant now)
{
    if (!m_inFlight.empty() || m_pending.empty() || now < m_nextCommitAt)
        return std::nullopt;
    refillTokens(now);
    if (m_tokens < 1) {
        const double rate = m_settings.fleetCommitsPerSecond / static_cast<double>(m_nodes);
        m_nextCommitAt
            = now + std::chrono::microseconds(static_cast<std::int64_t>(std::ceil((1 - m_tokens) / rate * 1e6)));
        return std::nullopt;
    }
    table_transaction transaction;
    absl::flat_hash_set<std::string> keys;
    std::deque<queued_write> later;
    std::size_t bytes = 0;
    for (auto& pending : m_pending) {
        const auto size = pending.write.key.size() + pending.write.value.size();
        const bool full = m_inFlight.size() >= m_settings.maxRowsPerCommit
            || (!m_inFlight.empty() && (bytes + size > m_settings.maxBytesPerCommit || pending.sendAlone))
            || (!m_inFlight.empty() && m_inFlight.front().sendAlone);
        // A transaction contains each key once; a later write of the same key stays queued behind the first.
        if (full || !keys.insert(pending.write.key).second) {
            keys.insert(pending.write.key);
            later.push_back(std::move(pending));
            continue;
        }
        bytes += size;
        transaction.conditions.push_back({ pending.write.key, pending.write.version });
        transaction.writes.push_back({ pending.write.key, pending.write.value });
        m_inFlight.push_back(std::move(pending));
    }
    m_pending = std::move(later);
    m_tokens -= 1;
    m_nextCommitAt = now + m_settings.groupInterval;
    ++m_commits;
    return transaction;
}

std::vector<write_completion> claim_committer::finishCommit(instant now, const result<table_outcome>& outcome)
{
    if (m_inFlight.empty())
        return {};
    if (!outcome) {
        if (outcome.error().kind == error_kind::BadRequest)
            return completeRejected();
        auto entries = std::move(m_inFlight);
        m_inFlight.clear();
        for (auto& sent : entries)
            sent.maybeApplied = sent.maybeApplied || outcome.error().kind != error_kind::PlatformUnavailable;
        requeue(std::move(entries));
        backOff(now);
        return {};
    }
    m_consecutiveFailures = 0;
    if (outcome.value().committed)
        return completeAll(outcome.value());
    // The retry without the failed rows is due at once, so the bucket is filled up to the token that it uses.
    m_tokens = std::max(m_tokens, 1.0);
    return completeConflicts(outcome.value());
}

std::vector<write_completion> claim_committer::completeAll(const table_outcome& outcome)
{
    std::vector<write_completion> completions;
    for (std::size_t index = 0; index < m_inFlight.size(); ++index) {
        const auto version = index < outcome.versions.size() ? outcome.versions[index] : store_version();
        completions.push_back({ m_inFlight[index].write.owner, write_status::Written, version });
    }
    m_rowsWritten += m_inFlight.size();
    m_inFlight.clear();
    return completions;
}

std::vector<write_completion> claim_committer::completeConflicts(const table_outcome& outcome)
{
    const absl::flat_hash_set<std::string> failed(outcome.failedKeys.begin(), outcome.failedKeys.end());
    const bool anyKnown = std::any_of(m_inFlight.begin(), m_inFlight.end(),
        [&failed](const queued_write& sent) { return failed.contains(sent.write.key); });
    std::vector<write_completion> completions;
    std::vector<queued_write> rest;
    for (auto& sent : m_inFlight) {
        // A conflict that names no row of the transaction would be retried forever, so every owner reads its row.
        if (!anyKnown || failed.contains(sent.write.key))
            completions.push_back({ sent.write.owner, write_status::Conflicted, {} });
        else
            rest.push_back(std::move(sent));
    }
    m_inFlight.clear();
    requeue(std::move(rest));
    return completions;
}

std::vector<write_completion> claim_committer::completeRejected()
{
    auto entries = std::move(m_inFlight);
    m_inFlight.clear();
    if (entries.size() == 1) {
        // An earlier send with an unknown outcome may have taken effect, so the owner reads the row.
        const auto end = entries.front().maybeApplied ? write_status::Conflicted : write_status::Rejected;
        return { { entries.front().write.owner, end, {} } };
    }
    for (auto& sent : entries)
        sent.sendAlone = true;
    requeue(std::move(entries));
    return {};
}

void claim_committer::requeue(std::vector<queued_write> entries)
{
    m_pending.insert(
        m_pending.begin(), std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end()));
}

void claim_committer::backOff(instant now)
{
    auto wait = m_settings.minBackoff;
    for (unsigned index = 0; index < m_consecutiveFailures && wait < m_settings.maxBackoff; ++index)
        wait *= 2;
    ++m_consecutiveFailures;
    wait = std::min(wait, m_settings.maxBackoff);
    // Jitter of half the delay prevents the nodes from retrying at the same time after an outage.
    const auto half = wait.count() / 2;
    m_nextCommitAt = now
        + std::chrono::milliseconds(
            half + static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(half) + 1)));
}

std::optional<instant> claim_committer::wakeAt() const
{
    if (!m_inFlight.empty() || m_pending.empty())
        return std::nullopt;
    return m_nextCommitAt;
}

} // namespace oriolepick
