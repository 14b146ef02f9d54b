#include "core/byte_pace.h"

#include <algorithm>

namespace oriolepick {

byte_pace::byte_pace(double bytesPerSecond, std::chrono::milliseconds longestBacklog)
    : m_bytesPerSecond(bytesPerSecond)
    , m_longestBacklog(longestBacklog)
{
}

bool byte_pace::take(std::size_t bytes, instant now)
{
    if (m_sentBy > now + m_longestBacklog)
        return false;
    const std::chrono::duration<double> sending(static_cast<double>(bytes) / m_bytesPerSecond);
    m_sentBy = std::max(m_sentBy, now) + std::chrono::duration_cast<instant::duration>(sending);
    return true;
}

} // namespace oriolepick
