#include "routing/answer_pace.h"

#include <algorithm>

namespace oriolepick {

answer_pace::answer_pace(pace_settings settings)
    : m_settings(settings)
{
}

void answer_pace::record(const service_name& service, std::chrono::milliseconds took)
{
    const auto value = static_cast<double>(took.count());
    const auto [mean, isNew] = m_means.try_emplace(service, value);
    if (!isNew)
        mean->second += m_settings.newShare * (value - mean->second);
}

std::chrono::milliseconds answer_pace::patience(const service_name& service, std::chrono::milliseconds objective) const
{
    const auto mean = m_means.find(service);
    const double usual = mean == m_means.end() ? 0 : m_settings.latenessFactor * mean->second;
    const double least = m_settings.objectiveShare * static_cast<double>(objective.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::max(usual, least)));
}

} // namespace oriolepick
