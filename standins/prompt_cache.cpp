#include "standins/prompt_cache.h"

namespace oriolepick {

namespace {

    // Readers that are further behind get a gap.
    constexpr std::size_t MaxLoggedEvents = 10'000;

} // namespace

prompt_cache::prompt_cache(std::size_t capacity, cache_log_settings settings)
    : m_capacity(capacity)
    , m_settings(settings)
    , m_random(settings.seed)
{
}

std::size_t prompt_cache::use(const std::vector<std::uint64_t>& blocks)
{
    std::size_t count = 0;
    for (const std::uint64_t block : blocks) {
        const auto found = m_entries.find(block);
        if (found == m_entries.end())
            break;
        m_order.splice(m_order.begin(), m_order, found->second);
        ++count;
    }
    return count;
}

void prompt_cache::store(const std::vector<std::uint64_t>& blocks, instant now)
{
    // From the last block to the first, so that eviction takes the end of a prompt before its start.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
        const auto found = m_entries.find(*block);
        if (found != m_entries.end()) {
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        m_order.push_front(*block);
        m_entries.emplace(*block, m_order.begin());
        log(true, *block, now);
    }
    while (m_entries.size() > m_capacity) {
        const std::uint64_t evicted = m_order.back();
        m_order.pop_back();
        m_entries.erase(evicted);
        log(false, evicted, now);
    }
}

cache_events prompt_cache::eventsAfter(std::uint64_t after, instant now) const
{
    cache_events report;
    for (const auto& logged : m_log) {
        if (logged.at + m_settings.delay > now)
            break;
        report.last = logged.event.sequence;
        if (logged.event.sequence > after)
            report.events.push_back(logged.event);
    }
    return report;
}

void prompt_cache::log(bool stored, std::uint64_t block, instant now)
{
    ++m_sequence;
    if (m_random.below(100) < m_settings.lossPercent)
        return;
    m_log.push_back({ { m_sequence, stored, block }, now });
    if (m_log.size() > MaxLoggedEvents)
        m_log.pop_front();
}

} // namespace oriolepick
