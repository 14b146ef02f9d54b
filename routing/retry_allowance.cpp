#include "routing/retry_allowance.h"

#include <chrono>

namespace oriolepick {

retry_allowance::retry_allowance(allowance_settings settings)
    : m_settings(settings)
{
}

retry_account& retry_allowance::accountOf(const service_name& service, instant now)
{
    const double share = m_settings.slack / m_settings.assumedNodes;
    const double windowSeconds = std::chrono::duration<double>(m_settings.window).count();
    return m_accounts.try_emplace(service, retry_account(share, share / 2 / windowSeconds, now)).first->second;
}

void retry_allowance::recordRequest(const service_name& service, instant now)
{
    accountOf(service, now).earn(m_settings.ratio * m_settings.safety, now);
}

bool retry_allowance::take(const service_name& service, instant now)
{
    auto& account = accountOf(service, now);
    if (account.balance(now) < 1) {
        ++m_denied;
        return false;
    }
    account.take(now);
    return true;
}

} // namespace oriolepick
