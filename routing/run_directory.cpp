#include "routing/run_directory.h"

namespace oriolepick {

run_directory::run_directory(run_directory_settings settings)
    : m_settings(settings)
{
}

void run_directory::put(const run_record& record, instant now)
{
    evictOld(now);
    auto& known = m_records[record.requestHash];
    const bool isOther = !known.record.attempt.empty() && known.record.attempt != record.attempt;
    known.ambiguous = known.ambiguous || (isOther && !record.resumed);
    known.record = record;
    known.at = now;
    m_order.emplace_back(now, record.requestHash);
}

std::optional<run_record> run_directory::find(const request_hash& requestHash, instant now) const
{
    const auto found = m_records.find(requestHash);
    if (found == m_records.end() || found->second.ambiguous || now >= found->second.at + m_settings.lifetime)
        return std::nullopt;
    return found->second.record;
}

void run_directory::evictOld(instant now)
{
    while (!m_order.empty()
        && (now >= m_order.front().first + m_settings.lifetime || m_records.size() >= m_settings.capacity)) {
        const auto& [at, requestHash] = m_order.front();
        const auto known = m_records.find(requestHash);
        if (known != m_records.end() && known->second.at == at)
            m_records.erase(known);
        m_order.pop_front();
    }
}

} // namespace oriolepick
