#include "routing/generation_time_estimator.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Longer than any deadline. The conversion of larger numbers to integers differs between processors.
    constexpr double MaxEstimateMs = 1e9;

    std::chrono::milliseconds timeOf(double msPerEvent, std::uint64_t events)
    {
        return std::chrono::milliseconds(
            static_cast<std::int64_t>(std::min(msPerEvent * static_cast<double>(events), MaxEstimateMs)));
    }

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
    auto& known = m_paces.try_emplace(service, pace { value, value }).first->second;
    known.meanMsPerEvent += m_settings.smoothingFactor * (value - known.meanMsPerEvent);
    known.maxMsPerEvent
        = std::max(value, known.maxMsPerEvent + m_settings.smoothingFactor * (value - known.maxMsPerEvent));
}

std::chrono::milliseconds generation_time_estimator::expectedTime(
    const service_name& service, std::uint64_t events) const
{
    const auto found = m_paces.find(service);
    return timeOf(found == m_paces.end() ? 0 : found->second.meanMsPerEvent, events);
}

std::chrono::milliseconds generation_time_estimator::maxTime(const service_name& service, std::uint64_t events) const
{
    const auto found = m_paces.find(service);
    return timeOf(found == m_paces.end() ? 0 : found->second.maxMsPerEvent, events);
}

std::chrono::milliseconds generation_time_estimator::minTime(const service_name& service, std::uint64_t events) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        expectedTime(service, events) * m_settings.minTimeShare);
}

} // namespace oriolepick
