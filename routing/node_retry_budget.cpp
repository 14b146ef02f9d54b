#include "routing/node_retry_budget.h"

#include <algorithm>
#include <chrono>

namespace oriolepick {

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
        // What was spent stays spent: a share that grows must not be filled anew at each change.
        auto changed = newAccount(now);
        const double before = account.balance(now);
        while (changed.balance(now) > std::max(before, 0.0) + 1)
            changed.take(now);
        account = changed;
    }
}

retry_account node_retry_budget::newAccount(instant now) const
{
    // Half of the share is saved up, a quarter comes back within a window; the last quarter stays unused.
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

bool node_retry_budget::take(const service_name& service, instant now)
{
    auto& account = accountOf(service, now);
    if (account.balance(now) < 1) {
        ++m_deniedRetries;
        return false;
    }
    account.take(now);
    return true;
}

} // namespace oriolepick
