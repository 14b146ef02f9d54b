#include "routing/recent_requests.h"

namespace oriolepick {

recent_requests::recent_requests(std::size_t capacity)
    : m_capacity(capacity)
{
}

void recent_requests::add(request_fingerprint request)
{
    if (!m_members.insert(request).second)
        return;
    if (m_ring.size() < m_capacity) {
        m_ring.push_back(request);
        return;
    }
    m_members.erase(m_ring[m_nextSlot]);
    m_ring[m_nextSlot] = request;
    m_nextSlot = (m_nextSlot + 1) % m_capacity;
}

} // namespace oriolepick
