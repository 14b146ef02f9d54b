#include "routing/generation_time_estimator.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Longer than any deadline. The conversion of larger numbers to integers differs between processors.
    constexpr double MaxEstimateMs = 1e9;

} // namespace

generation_time_estimator::generation_time_estimator(generation_time_settings settings)
    : m_settings(settings)
{
}

void generation_time_estimator::record(
    const service_name& service, std::uint64_t events, std::chrono::milliseconds took)
{
    if (events < m_settings.minEvents)
        return;
    const double value = static_cast<double>(took.count()) / static_cast<double>(events);
    const auto [mean, isNew] = m_msPerEvent.try_emplace(service, value);
    if (!isNew)
        mean->second += m_settings.smoothingFactor * (value - mean->second);
}

std::chrono::milliseconds generation_time_estimator::expectedTime(
    const service_name& service, std::uint64_t events) const
{
    const auto mean = m_msPerEvent.find(service);
    const double msPerEvent = mean == m_msPerEvent.end() ? 0 : mean->second;
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(std::min(msPerEvent * static_cast<double>(events), MaxEstimateMs)));
}

std::chrono::milliseconds generation_time_estimator::minTime(const service_name& service, std::uint64_t events) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        expectedTime(service, events) * m_settings.minTimeShare);
}

} // namespace oriolepick
