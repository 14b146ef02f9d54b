#include "routing/path_monitor.h"

#include <algorithm>

namespace oriolepick {

path_monitor::path_monitor(const path_monitor_settings& settings)
    : m_settings(settings)
{
}

bool path_monitor::recordEvents(
    const availability_zone& zone, std::chrono::milliseconds pause, std::size_t count, instant now)
{
    auto& path = m_paths[zone];
    advanceWindow(path, now);
    ++path.current.groups;
    if (pause < m_settings.minPause || count < m_settings.minEvents)
        return false;
    ++path.current.retransmissions;
    if (!losesPackets(path))
        return false;
    const bool wasLossy = now < path.lossyUntil;
    if (!wasLossy) {
        const bool isAgain = path.hold.count() && now < path.lossyUntil + path.hold;
        path.hold = isAgain ? std::min(path.hold * 2, m_settings.maxHold) : m_settings.initialHold;
    }
    path.lossyUntil = now + path.hold;
    return !wasLossy;
}

void path_monitor::advanceWindow(path& path, instant now) const
{
    const auto age = now - path.windowStart;
    if (age < m_settings.window)
        return;
    path.previous = age < 2 * m_settings.window ? path.current : counts {};
    path.current = {};
    path.windowStart = now;
}

bool path_monitor::losesPackets(const path& path) const
{
    const auto retransmissions = path.current.retransmissions + path.previous.retransmissions;
    const auto groups = path.current.groups + path.previous.groups;
    return retransmissions >= m_settings.minRetransmissions
        && static_cast<double>(retransmissions) >= m_settings.minShare * static_cast<double>(groups);
}

std::vector<availability_zone> path_monitor::lossyZones(instant now) const
{
    std::vector<availability_zone> zones;
    for (const auto& [zone, path] : m_paths) {
        if (now < path.lossyUntil)
            zones.push_back(zone);
    }
    return zones;
}

} // namespace oriolepick
