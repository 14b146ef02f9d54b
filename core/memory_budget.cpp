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
    if (wanted <= held || wanted <= m_guaranteedPerBuffer)
        return true;
    const auto others = m_used - std::min(held, m_used);
    const auto left = m_total - std::min(others, m_total);
    return wanted <= left / 2; // as much stays free as the buffer holds
}

void memory_budget::adjustUsage(std::size_t before, std::size_t after)
{
    m_used = m_used - std::min(before, m_used) + after;
    m_peak = std::max(m_peak, m_used);
}

} // namespace oriolepick
