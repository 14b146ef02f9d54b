#include "core/call_garbage_collector.h"

#include <utility>

namespace oriolepick {

call_garbage_collector::call_garbage_collector(collector_settings settings, const call_row_codec& codec)
    : m_settings(settings)
    , m_codec(codec)
{
}

void call_garbage_collector::setPrefixes(std::vector<std::string> prefixes)
{
    if (prefixes == m_prefixes)
        return;
    m_prefixes = std::move(prefixes);
    m_prefix = 0;
    m_after.clear();
}

std::optional<scan_call_rows> call_garbage_collector::takeScan(instant now)
{
    if (m_scanning || m_prefixes.empty() || now < m_dueAt)
        return std::nullopt;
    m_scanning = true;
    m_dueAt = now + m_settings.pageInterval;
    return scan_call_rows { m_prefixes[m_prefix], m_after, m_settings.pageRows };
}

std::optional<table_transaction> call_garbage_collector::finishScan(
    clock_reading time, const result<std::vector<table_row>>& page)
{
    m_scanning = false;
    if (!page)
        return std::nullopt;
    table_transaction deletions;
    for (const auto& stored : page.value()) {
        const auto row = m_codec.decode(stored.value);
        if (!row) {
            ++m_malformedRows; // left for the operator: its age is not known
            continue;
        }
        if (time.wall - row.value().at < m_settings.retention)
            continue;
        deletions.conditions.push_back({ stored.key, stored.version });
        deletions.writes.push_back({ stored.key, std::nullopt });
    }
    if (page.value().size() < m_settings.pageRows)
        nextPrefix();
    else
        m_after = page.value().back().key;
    if (deletions.writes.empty())
        return std::nullopt;
    return deletions;
}

void call_garbage_collector::nextPrefix()
{
    m_after.clear();
    m_prefix = m_prefixes.empty() ? 0 : (m_prefix + 1) % m_prefixes.size();
}

} // namespace oriolepick
