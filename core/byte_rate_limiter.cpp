#include "core/byte_rate_limiter.h"

#include <algorithm>

namespace oriolepick {

byte_rate_limiter::byte_rate_limiter(double bytesPerSecond, std::chrono::milliseconds maxBacklog)
    : m_bytesPerSecond(bytesPerSecond)
    , m_maxBacklog(maxBacklog)
{
}

bool byte_rate_limiter::tryTake(std::size_t bytes, instant now)
{
    if (m_drainedAt > now + m_maxBacklog)
        return false;
    const std::chrono::duration<double> sending(static_cast<double>(bytes) / m_bytesPerSecond);
    m_drainedAt = std::max(m_drainedAt, now) + std::chrono::duration_cast<instant::duration>(sending);
    return true;
}

} // namespace oriolepick
