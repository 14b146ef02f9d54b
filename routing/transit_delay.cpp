#include "routing/transit_delay.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Two windows are remembered, so that the estimate follows clocks that drift apart.
    constexpr std::chrono::seconds Window { 60 };
    /// A message is never delayed this long: the clock of the sender started anew.
    constexpr std::chrono::seconds MaxDelay { 60 };
    constexpr std::size_t MaxSenders = 2'048; ///< more nodes than a fleet has

} // namespace

std::chrono::milliseconds transit_delay::excess(const node_id& from, std::chrono::milliseconds sentAt, instant now)
{
    const auto measured = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()) - sentAt;
    if (m_differences.size() >= MaxSenders)
        removeExpired(now);
    auto& known = m_differences.try_emplace(from, difference { measured, measured, now }).first->second;
    if (measured > std::min(known.least, known.leastBefore) + MaxDelay)
        known = { measured, measured, now };
    if (now >= known.windowStart + Window) {
        const bool isNext = now < known.windowStart + 2 * Window;
        known = { measured, isNext ? known.least : measured, now };
    }
    known.least = std::min(known.least, measured);
    return measured - std::min(known.least, known.leastBefore);
}

void transit_delay::removeExpired(instant now)
{
    for (auto each = m_differences.begin(); each != m_differences.end();)
        each = now >= each->second.windowStart + 2 * Window ? m_differences.erase(each) : std::next(each);
}

} // namespace oriolepick
