#include "routing/response_time_estimator.h"

#include <algorithm>

namespace oriolepick {

response_time_estimator::response_time_estimator(response_time_settings settings)
    : m_settings(settings)
{
}

void response_time_estimator::record(const service_name& service, std::chrono::milliseconds took)
{
    const auto value = static_cast<double>(took.count());
    const auto [mean, isNew] = m_means.try_emplace(service, value);
    if (!isNew)
        mean->second += m_settings.smoothingFactor * (value - mean->second);
}

std::chrono::milliseconds response_time_estimator::patience(
    const service_name& service, std::chrono::milliseconds objective) const
{
    const auto mean = m_means.find(service);
    const double adaptiveTimeout = mean == m_means.end() ? 0 : m_settings.timeoutFactor * mean->second;
    const double minTimeout = m_settings.minObjectiveShare * static_cast<double>(objective.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::max(adaptiveTimeout, minTimeout)));
}

} // namespace oriolepick
