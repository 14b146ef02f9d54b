#include "core/permit_bucket.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

namespace {

    using seconds = std::chrono::duration<double>;

    constexpr seconds Burst { 0.5 }; ///< time for which unused permits are kept
    constexpr seconds RefusalWindow { 2 }; ///< time constant of the average of refusals
    constexpr seconds MaxSpread { 30 }; ///< upper bound of spread()

    std::chrono::milliseconds toMilliseconds(seconds time)
    {
        return std::chrono::ceil<std::chrono::milliseconds>(time);
    }

} // namespace

permit_bucket::permit_bucket(instant now)
    : m_refilledAt(now)
    , m_refusedAt(now)
{
}

double permit_bucket::permitsAt(instant now) const
{
    const auto elapsed = std::max(seconds(now - m_refilledAt), seconds(0));
    return std::min(m_permits + m_rate * elapsed.count(), std::max(m_rate * Burst.count(), 1.0));
}

void permit_bucket::setRate(double permitsPerSecond, instant now)
{
    m_permits = permitsAt(now);
    m_refilledAt = now;
    m_rate = permitsPerSecond;
    m_permits = permitsAt(now); // a smaller bucket holds fewer permits
}

bool permit_bucket::take(instant now)
{
    m_permits = permitsAt(now);
    m_refilledAt = now;
    if (m_permits < 1)
        return false;
    m_permits -= 1;
    return true;
}

std::chrono::milliseconds permit_bucket::timeToNext(instant now) const
{
    return toMilliseconds(seconds(std::max(1 - permitsAt(now), 0.0) / m_rate));
}

double permit_bucket::refusedPerSecondAt(instant now) const
{
    return m_refusedPerSecond * std::exp(-seconds(now - m_refusedAt) / RefusalWindow);
}

void permit_bucket::recordRefused(double requests, instant now)
{
    m_refusedPerSecond = refusedPerSecondAt(now) + requests / RefusalWindow.count();
    m_refusedAt = now;
}

std::chrono::milliseconds permit_bucket::spread(instant now) const
{
    return toMilliseconds(std::min(seconds(refusedPerSecondAt(now) / m_rate), MaxSpread));
}

} // namespace oriolepick
