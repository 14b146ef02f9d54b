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
    if (pause < m_settings.minPause || count < m_settings.minEvents)
        return false;
    auto& path = m_paths[zone];
    auto& retransmissions = path.retransmissions;
    retransmissions.push_back(now);
    while (retransmissions.front() + m_settings.window <= now || retransmissions.size() > m_settings.minRetransmissions)
        retransmissions.pop_front();
    if (retransmissions.size() < m_settings.minRetransmissions)
        return false;
    const bool wasLossy = now < path.lossyUntil;
    if (!wasLossy) {
        const bool isAgain = path.hold.count() && now < path.lossyUntil + path.hold;
        path.hold = isAgain ? std::min(path.hold * 2, m_settings.maxHold) : m_settings.initialHold;
    }
    path.lossyUntil = now + path.hold;
    return !wasLossy;
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
