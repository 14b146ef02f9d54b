#include "standins/fault_switch.h"

namespace oriolepick {

fault_switch::fault_switch(std::uint64_t seed)
    : m_random(seed)
{
}

void fault_switch::set(const platform_faults& faults)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
}

fault_decision fault_switch::next(bool losable)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    fault_decision decision { m_faults.delayBefore, m_faults.delayAfter, m_faults.down, false };
    if (!decision.refuse && m_faults.downRequests) {
        --m_faults.downRequests;
        decision.refuse = true;
    }
    if (decision.refuse || !losable)
        return decision;
    if (m_faults.loseResponses) {
        --m_faults.loseResponses;
        decision.loseResponse = true;
    } else if (m_faults.loseProbability > 0) {
        decision.loseResponse = m_random.unit() < m_faults.loseProbability;
    }
    return decision;
}

} // namespace oriolepick
