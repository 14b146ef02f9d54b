#include "routing/run_records.h"

namespace oriolepick {

run_records::run_records(run_records_settings settings)
    : m_settings(settings)
{
}

void run_records::put(const run_record& record, instant now)
{
    forgetOld(now);
    auto& known = m_records[record.print];
    const bool isOther = !known.record.attempt.empty() && known.record.attempt != record.attempt;
    known.ambiguous = known.ambiguous || (isOther && !record.resumed);
    known.record = record;
    known.at = now;
    m_order.emplace_back(now, record.print);
}

std::optional<run_record> run_records::find(const request_print& print, instant now) const
{
    const auto found = m_records.find(print);
    if (found == m_records.end() || found->second.ambiguous || now >= found->second.at + m_settings.lifetime)
        return std::nullopt;
    return found->second.record;
}

void run_records::forgetOld(instant now)
{
    while (!m_order.empty()
        && (now >= m_order.front().first + m_settings.lifetime || m_records.size() >= m_settings.capacity)) {
        const auto& [at, print] = m_order.front();
        const auto known = m_records.find(print);
        if (known != m_records.end() && known->second.at == at)
            m_records.erase(known);
        m_order.pop_front();
    }
}

} // namespace oriolepick
