#include "routing/prompt_pace.h"

namespace oriolepick {

prompt_pace::prompt_pace(prompt_pace_settings settings)
    : m_settings(settings)
{
}

void prompt_pace::record(const service_name& service, std::uint64_t tokens, std::chrono::milliseconds took)
{
    if (tokens < m_settings.fewestTokens)
        return;
    const double value = static_cast<double>(took.count()) / static_cast<double>(tokens);
    const auto [mean, isNew] = m_msPerToken.try_emplace(service, value);
    if (!isNew)
        mean->second += m_settings.newShare * (value - mean->second);
}

std::chrono::milliseconds prompt_pace::timeFor(const service_name& service, std::uint64_t tokens) const
{
    const auto mean = m_msPerToken.find(service);
    const double msPerToken = mean == m_msPerToken.end() ? 1 / m_settings.assumedTokensPerMs : mean->second;
    return std::chrono::milliseconds(static_cast<std::int64_t>(msPerToken * static_cast<double>(tokens)));
}

} // namespace oriolepick
