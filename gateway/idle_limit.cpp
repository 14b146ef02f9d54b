#include "gateway/idle_limit.h"

#include <algorithm>

namespace oriolepick {

idle_limit::idle_limit(std::chrono::milliseconds initial)
    : m_limits({ { initial, instant() } })
{
}

void idle_limit::apply(std::chrono::milliseconds limit, instant now)
{
    auto since = now;
    while (!m_limits.empty() && m_limits.back().limit <= limit) {
        since = m_limits.back().since;
        m_limits.pop_back();
    }
    m_limits.push_back({ limit, since });
    if (m_limits.size() > MaxLimits)
        m_limits.pop_front();
}

instant idle_limit::dueAt(instant idleSince, std::chrono::milliseconds learningTime) const
{
    auto due = instant::max();
    for (const auto& dated : m_limits)
        due = std::min<instant>(due, std::max<instant>(idleSince, dated.since + learningTime) + dated.limit);
    return due;
}

} // namespace oriolepick
