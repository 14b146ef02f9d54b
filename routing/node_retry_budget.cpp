#include "routing/node_retry_budget.h"

#include <algorithm>
#include <chrono>

namespace oriolepick {

namespace {

    /// Retries that a node keeps when it gives some to another one.
    constexpr double OwnReserve = 1;

} // namespace

node_retry_budget::node_retry_budget(node_retry_budget_settings settings)
    : m_settings(settings)
{
}

double node_retry_budget::slackShare() const
{
    return m_settings.minRetries / m_nodes.value_or(m_settings.assumedNodes);
}

void node_retry_budget::setNodes(std::size_t nodes, instant now)
{
    const auto count = static_cast<double>(std::max<std::size_t>(nodes, 1));
    if (m_nodes == count)
        return;
    m_nodes = count;
    for (auto& [service, account] : m_accounts) {
        // Spent retries stay spent: a growing share must not refill the balance at each change of the number of
        // nodes.
        auto changed = newAccount(now);
        const double before = account.balance(now);
        while (changed.balance(now) > std::max(before, 0.0) + 1)
            changed.take(now);
        account = changed;
    }
}

retry_account node_retry_budget::newAccount(instant now) const
{
    // The balance holds up to half of the share, and a quarter is refilled per window; the last quarter remains
    // unused.
    const double windowSeconds = std::chrono::duration<double>(m_settings.window).count();
    return retry_account(std::max(slackShare() / 2, m_settings.burst), slackShare() / 4 / windowSeconds, now);
}

retry_account& node_retry_budget::accountOf(const service_name& service, instant now)
{
    return m_accounts.try_emplace(service, newAccount(now)).first->second;
}

void node_retry_budget::recordRequest(const service_name& service, instant now)
{
    accountOf(service, now).deposit(m_settings.ratio * m_settings.earnedShare, now);
}

bool node_retry_budget::mayTake(const service_name& service, instant now, double reserve)
{
    return accountOf(service, now).balance(now) >= 1 + reserve;
}

bool node_retry_budget::take(const service_name& service, instant now, double reserve)
{
    if (!mayTake(service, now, reserve)) {
        ++m_deniedRetries;
        return false;
    }
    accountOf(service, now).take(now);
    return true;
}

std::uint32_t node_retry_budget::give(const service_name& service, std::uint32_t wanted, instant now)
{
    std::uint32_t given = 0;
    for (; given < wanted && mayTake(service, now, OwnReserve); ++given)
        accountOf(service, now).take(now);
    return given;
}

void node_retry_budget::receive(const service_name& service, std::uint32_t retries, instant now)
{
    accountOf(service, now).deposit(retries, now);
}

} // namespace oriolepick
