#include "gateway/refused_requests.h"

namespace oriolepick {

namespace {

    /// Callers return within the longest Retry-After of two seconds, some of them several times.
    constexpr std::chrono::milliseconds RefusalMemory { 10'000 };
    /// A question is decided before the deadline of its request; those of plain services are 2.5 s.
    constexpr std::chrono::milliseconds QuestionMemory { 5'000 };
    constexpr std::size_t MaxEntries = 8'192; ///< bounds memory: above the questions of 5 s to one allocator

} // namespace

void refused_requests::expire(instant now)
{
    while (!m_askedOrder.empty()
        && (m_askedOrder.size() > MaxEntries || now - m_askedOrder.front().first > QuestionMemory)) {
        m_asked.erase(m_askedOrder.front().second);
        m_askedOrder.pop_front();
    }
    while (!m_refusalOrder.empty()
        && (m_refusalOrder.size() > MaxEntries || now - m_refusalOrder.front().first > RefusalMemory)) {
        const auto known = m_refusals.find(m_refusalOrder.front().second);
        if (known != m_refusals.end() && known->second.last == m_refusalOrder.front().first)
            m_refusals.erase(known);
        m_refusalOrder.pop_front();
    }
}

void refused_requests::recordAsked(const node_id& from, std::uint64_t number, std::uint64_t request, instant now)
{
    expire(now);
    if (request && m_asked.try_emplace({ from, number }, request).second)
        m_askedOrder.push_back({ now, { from, number } });
}

void refused_requests::recordRefused(const node_id& to, std::uint64_t number, instant now)
{
    const auto asked = m_asked.find({ to, number });
    if (asked == m_asked.end())
        return;
    m_refusals.try_emplace(asked->second, refusal { now, now }).first->second.last = now;
    m_refusalOrder.push_back({ now, asked->second });
    m_asked.erase(asked);
    expire(now);
}

std::chrono::milliseconds refused_requests::waited(std::uint64_t request, instant now) const
{
    const auto known = m_refusals.find(request);
    if (known == m_refusals.end() || now - known->second.last > RefusalMemory)
        return std::chrono::milliseconds(0);
    return std::chrono::ceil<std::chrono::milliseconds>(now - known->second.first);
}

} // namespace oriolepick
