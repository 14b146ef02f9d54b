#include "routing/generation_pace.h"

namespace oriolepick {

generation_pace::generation_pace(generation_pace_settings settings)
    : m_settings(settings)
{
}

void generation_pace::record(const service_name& service, std::uint64_t events, std::chrono::milliseconds took)
{
    if (events < m_settings.fewestEvents)
        return;
    const double value = static_cast<double>(took.count()) / static_cast<double>(events);
    const auto [mean, isNew] = m_msPerEvent.try_emplace(service, value);
    if (!isNew)
        mean->second += m_settings.newShare * (value - mean->second);
}

std::chrono::milliseconds generation_pace::expected(const service_name& service, std::uint64_t events) const
{
    const auto mean = m_msPerEvent.find(service);
    const double msPerEvent = mean == m_msPerEvent.end() ? 0 : mean->second;
    return std::chrono::milliseconds(static_cast<std::int64_t>(msPerEvent * static_cast<double>(events)));
}

std::chrono::milliseconds generation_pace::least(const service_name& service, std::uint64_t events) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(expected(service, events) * m_settings.leastShare);
}

} // namespace oriolepick
