#include "core/retry_budget.h"

#include "core/resume_pacer.h"
#include "core/seeded_random.h"

#include <algorithm>

namespace oriolepick {

retry_account::retry_account(double limit, double minRetriesPerSecond, instant now)
    : m_limit(limit)
    , m_floorPerSecond(minRetriesPerSecond)
    , m_balance(limit)
    , m_updatedAt(now)
{
}

double retry_account::balance(instant now) const
{
    const std::chrono::duration<double> passed = std::max(now, m_updatedAt) - m_updatedAt;
    return std::min(m_limit, m_balance + passed.count() * m_floorPerSecond);
}

void retry_account::deposit(double retries, instant now)
{
    m_balance = std::min(m_limit, balance(now) + retries);
    m_updatedAt = std::max(now, m_updatedAt);
}

void retry_account::take(instant now)
{
    deposit(-1, now);
}

retry_budget::retry_budget(
    const retry_budget_settings& settings, resume_pacer* pacer, seeded_random& random, instant now)
    : m_settings(settings)
    , m_pacer(pacer)
    , m_random(random)
    , m_node(settings.nodeLimit, settings.minRetriesPerSecond, now)
{
}

std::optional<instant> retry_budget::admit(const resume_request& request, instant now)
{
    // A caller's retry must not be multiplied by optional attempts in this layer.
    const bool retryOnRetry = request.hedge && request.callerRetry;
    retry_account* const accounts[] = { &m_node, &accountOf(request.team, now), &accountOf(request.targetGroup, now) };
    const double reserve = request.hedge ? m_settings.hedgeReserve : 0;
    const bool covered = std::all_of(std::begin(accounts), std::end(accounts),
        [&](const retry_account* account) { return account->balance(now) >= 1 + account->limit() * reserve; });
    if (retryOnRetry || !covered) {
        ++m_denied;
        return std::nullopt;
    }
    for (auto* account : accounts)
        account->take(now);
    const instant start = m_pacer ? m_pacer->schedule(request.remainingTokens, now) : now;
    if (start > now)
        return start;
    // All streams of a dead engine stall at once; spread over a few round trips, later choices see earlier ones.
    const std::chrono::duration<double, std::milli> jitter = m_settings.jitter * m_random.unit();
    return start + std::chrono::duration_cast<instant::duration>(jitter);
}

void retry_budget::recordSuccess(const team_id& team, const std::string& targetGroup, instant now)
{
    m_node.deposit(m_settings.retriesPerSuccess, now);
    accountOf(team, now).deposit(m_settings.retriesPerSuccess, now);
    accountOf(targetGroup, now).deposit(m_settings.retriesPerSuccess, now);
}

retry_account& retry_budget::accountOf(const team_id& team, instant now)
{
    return m_teams.try_emplace(team, m_settings.teamLimit, m_settings.minRetriesPerSecond, now).first->second;
}

retry_account& retry_budget::accountOf(const std::string& targetGroup, instant now)
{
    return m_groups.try_emplace(targetGroup, m_settings.groupLimit, m_settings.minRetriesPerSecond, now).first->second;
}

} // namespace oriolepick
