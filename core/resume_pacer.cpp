#include "core/resume_pacer.h"

#include <algorithm>

namespace oriolepick {

resume_pacer::resume_pacer(const resume_pacer_settings& settings, instant now)
    : m_settings(settings)
    , m_windowStart(now)
    , m_nextSlot(now)
{
}

instant resume_pacer::schedule(std::uint32_t remainingTokens, instant now)
{
    if (now - m_windowStart >= m_settings.window && m_nextSlot <= now) {
        m_windowStart = now;
        m_startedInWindow = 0;
    }
    if (m_startedInWindow++ < m_settings.burst)
        return now;
    const std::chrono::duration<double> slot(1 / m_settings.perSecond);
    m_nextSlot = std::max(m_nextSlot, now) + std::chrono::duration_cast<instant::duration>(slot);
    m_nextSlot = std::min(m_nextSlot, now + m_settings.maxWait);
    // Short streams free their place soon, so they go before long ones of the same burst.
    const auto wait = m_nextSlot - now;
    return now + (remainingTokens <= m_settings.shortStreamTokens ? wait / 2 : wait);
}

} // namespace oriolepick
