#include "routing/recent_requests.h"

namespace oriolepick {

recent_requests::recent_requests(std::size_t capacity)
    : m_capacity(capacity)
{
}

void recent_requests::add(request_fingerprint request)
{
    if (!m_known.insert(request).second)
        return;
    if (m_places.size() < m_capacity) {
        m_places.push_back(request);
        return;
    }
    m_known.erase(m_places[m_next]);
    m_places[m_next] = request;
    m_next = (m_next + 1) % m_capacity;
}

} // namespace oriolepick
