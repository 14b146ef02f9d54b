#include "standins/value_summary.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

void value_summary::add(const value_summary& other)
{
    m_values.insert(m_values.end(), other.m_values.begin(), other.m_values.end());
}

double value_summary::percentile(double share) const
{
    if (m_values.empty())
        return 0;
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(m_values.size())));
    const auto index = std::min(std::max<std::size_t>(rank, 1), m_values.size()) - 1;
    const auto place = m_values.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(m_values.begin(), place, m_values.end());
    return std::chrono::duration<double, std::milli>(*place).count();
}

} // namespace oriolepick
