#include "routing/prefill_time_estimator.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Longer than any deadline. The conversion of larger numbers to integers differs between processors.
    constexpr double MaxEstimateMs = 1e9;

} // namespace

prefill_time_estimator::prefill_time_estimator(prefill_time_settings settings)
    : m_settings(settings)
{
}

void prefill_time_estimator::record(const service_name& service, std::uint64_t tokens, std::chrono::milliseconds took)
{
    if (tokens < m_settings.minTokens)
        return;
    const double value = static_cast<double>(took.count()) / static_cast<double>(tokens);
    const auto [mean, isNew] = m_msPerToken.try_emplace(service, value);
    if (!isNew)
        mean->second += m_settings.smoothingFactor * (value - mean->second);
}

std::chrono::milliseconds prefill_time_estimator::estimate(const service_name& service, std::uint64_t tokens) const
{
    const auto mean = m_msPerToken.find(service);
    const double msPerToken = mean == m_msPerToken.end() ? 1 / m_settings.initialTokensPerMs : mean->second;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min(msPerToken * static_cast<double>(tokens), MaxEstimateMs)));
}

} // namespace oriolepick
