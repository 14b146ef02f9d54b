#include "core/memory_budget.h"

#include <algorithm>

namespace oriolepick {

memory_budget::memory_budget(std::size_t total, std::size_t guaranteedPerBuffer)
    : m_total(total)
    , m_guaranteedPerBuffer(guaranteedPerBuffer)
{
}

bool memory_budget::mayGrow(std::size_t held, std::size_t wanted) const
{
    return mayGrow(m_used, held, wanted);
}

bool memory_budget::mayGrow(std::size_t used, std::size_t held, std::size_t wanted) const
{
    if (wanted <= held || wanted <= m_guaranteedPerBuffer)
        return true;
    const auto others = used - std::min(held, used);
    const auto left = m_total - std::min(others, m_total);
    return wanted <= left / 2; // at least as many bytes stay free as the buffer then holds
}

bool memory_budget::tryAdjustUsage(std::size_t held, std::size_t wanted)
{
    std::size_t used = m_used;
    do {
        if (!mayGrow(used, held, wanted))
            return false;
    } while (!m_used.compare_exchange_weak(used, used - std::min(held, used) + wanted));
    recordPeak(used - std::min(held, used) + wanted);
    return true;
}

void memory_budget::adjustUsage(std::size_t before, std::size_t after)
{
    std::size_t used = m_used;
    while (!m_used.compare_exchange_weak(used, used - std::min(before, used) + after)) { }
    recordPeak(used - std::min(before, used) + after);
}

void memory_budget::recordPeak(std::size_t used)
{
    std::size_t peak = m_peak;
    while (peak < used && !m_peak.compare_exchange_weak(peak, used)) { }
}

} // namespace oriolepick
