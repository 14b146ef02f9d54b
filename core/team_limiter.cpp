#include "core/team_limiter.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace oriolepick {

namespace {

    using seconds = std::chrono::duration<double>;

    constexpr std::size_t MaxPendingReports = 16; ///< Reports whose send time is kept; older ones get no grant.

    std::chrono::milliseconds toMilliseconds(seconds time)
    {
        return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(time.count() * 1000)));
    }

} // namespace

team_limiter::team_limiter(team_limiter_settings settings)
    : m_settings(settings)
{
}

void team_limiter::setLimit(const team_id& team, const team_limit& limit, instant now)
{
    const auto [position, inserted] = m_buckets.try_emplace(team);
    auto& state = position->second;
    if (inserted) {
        state.refilledAt = now;
        state.demandAt = now;
        state.grantExpires = now;
        state.limit = limit;
        // Enough for one request: a node that restarts repeatedly must not gain a burst each time.
        state.tokens = 1;
        return;
    }
    refill(state, now);
    // The grant was part of the old limit.
    if (state.limit.tokensPerSecond > 0)
        state.granted *= std::min(1.0, limit.tokensPerSecond / state.limit.tokensPerSecond);
    state.limit = limit;
    refill(state, now);
}

void team_limiter::removeLimit(const team_id& team)
{
    m_buckets.erase(team);
}

void team_limiter::setNodeCount(std::uint32_t nodes, instant now)
{
    for (auto& [team, state] : m_buckets)
        refill(state, now);
    m_nodes = std::max<std::uint32_t>(nodes, 1);
    for (auto& [team, state] : m_buckets)
        refill(state, now);
}

result<void> team_limiter::admit(const team_id& team, std::uint32_t cost, instant now)
{
    const auto position = m_buckets.find(team);
    if (position == m_buckets.end())
        return success();
    auto& state = position->second;
    refill(state, now);
    addDemand(state, cost, now);
    state.lastRequest = now;
    if (state.tokens > 0) {
        state.tokens -= cost;
        return success();
    }
    const double perSecond = rateAt(state, now);
    auto wait = m_settings.maxRetryAfter;
    if (perSecond > 0) {
        // The first token of credit is needed, not the request's whole cost.
        const seconds needed((1 - state.tokens) / perSecond);
        wait = std::min(needed < seconds(wait) ? toMilliseconds(needed) : wait, wait);
    }
    return error { error_kind::LimitExceeded,
        absl::StrFormat("team %s is over its limit of %.0f tokens/s over all nodes; next request possible in %d ms",
            team.text(), state.limit.tokensPerSecond, wait.count()),
        wait };
}

void team_limiter::refund(const team_id& team, std::uint32_t unused, instant now)
{
    const auto position = m_buckets.find(team);
    if (position == m_buckets.end())
        return;
    refill(position->second, now);
    position->second.tokens += unused;
    refill(position->second, now);
}

void team_limiter::applyGrant(const team_grant& grant, instant now)
{
    const auto position = m_buckets.find(grant.team);
    if (position == m_buckets.end())
        return;
    auto& state = position->second;
    const auto report = std::find_if(state.pendingReports.begin(), state.pendingReports.end(),
        [&](const auto& sent) { return sent.sequence == grant.sequence; });
    if (report == state.pendingReports.end() || grant.sequence < state.grantSequence)
        return;
    // The validity starts at the send time, so that the grant ends here before the owner counts it as free.
    const auto expires = report->at + grant.validFor;
    state.pendingReports.erase(state.pendingReports.begin(), report + 1);
    refill(state, now);
    state.grantSequence = grant.sequence;
    state.granted = std::clamp(grant.tokensPerSecond, 0.0, state.limit.tokensPerSecond);
    state.grantExpires = expires;
    refill(state, now);
}

std::vector<demand_report> team_limiter::dueReports(instant now)
{
    // When one team is due by time, those that are nearly due go along: the reports to one owner share a message.
    bool anyDue = false;
    for (const auto& [team, state] : m_buckets)
        anyDue = anyDue || (isActive(state, now) && timeSinceReport(state, now) >= m_settings.reportInterval);
    const instant::duration dueAfter = anyDue ? m_settings.reportInterval * 3 / 4 : m_settings.reportInterval;
    std::vector<demand_report> reports;
    for (auto& [team, state] : m_buckets) {
        if (!isActive(state, now))
            continue;
        addDemand(state, 0, now);
        const double change = std::abs(state.demand - state.reportedDemand);
        const bool changed = change > m_settings.reportChangeThreshold * state.reportedDemand
            && change > m_settings.reportLimitThreshold * state.limit.tokensPerSecond;
        const auto sinceReport = timeSinceReport(state, now);
        if (sinceReport < dueAfter && (!changed || sinceReport < m_settings.minReportInterval))
            continue;
        state.reportedAt = now;
        state.reportedDemand = state.demand;
        if (state.pendingReports.size() == MaxPendingReports)
            state.pendingReports.erase(state.pendingReports.begin());
        state.pendingReports.push_back({ ++m_sequence, now });
        reports.push_back({ team, state.demand, m_sequence });
    }
    return reports;
}

bool team_limiter::isActive(const bucket& state, instant now) const
{
    return state.lastRequest && now - *state.lastRequest <= m_settings.idleTimeout;
}

instant::duration team_limiter::timeSinceReport(const bucket& state, instant now)
{
    return state.reportedAt ? now - *state.reportedAt : instant::duration::max();
}

double team_limiter::rate(const team_id& team, instant now) const
{
    const auto position = m_buckets.find(team);
    return position == m_buckets.end() ? std::numeric_limits<double>::infinity() : rateAt(position->second, now);
}

std::size_t team_limiter::memoryBytes() const
{
    return m_buckets.capacity() * (sizeof(team_id) + sizeof(bucket) + 1);
}

double team_limiter::fixedRate(const bucket& state) const
{
    return state.limit.tokensPerSecond * state.limit.fixedShare / m_nodes;
}

double team_limiter::rateAt(const bucket& state, instant now) const
{
    return fixedRate(state) + (now < state.grantExpires ? state.granted : 0);
}

// Fills in two steps when the grant expired in between. The bucket is cut to the current rate's size, so that tokens
// saved under a larger grant cannot be spent after another node received that grant.
void team_limiter::refill(bucket& state, instant now) const
{
    const auto add = [&](instant until, double perSecond) {
        if (until <= state.refilledAt)
            return;
        state.tokens += perSecond * seconds(until - state.refilledAt).count();
        state.refilledAt = until;
    };
    const double fixed = fixedRate(state);
    add(std::min(now, state.grantExpires), fixed + state.granted);
    add(now, fixed);
    state.tokens = std::min(state.tokens, rateAt(state, now) * seconds(m_settings.burst).count());
}

void team_limiter::addDemand(bucket& state, double cost, instant now) const
{
    const double window = seconds(m_settings.demandWindow).count();
    state.demand = state.demand * std::exp(-seconds(now - state.demandAt).count() / window) + cost / window;
    state.demandAt = now;
}

} // namespace oriolepick
