#include "standins/memory_table.h"

#include <algorithm>

namespace oriolepick {

bool memory_table::holds(const table_condition& condition) const
{
    const auto found = m_rows.find(condition.key);
    if (found == m_rows.end())
        return !condition.version;
    return condition.version == store_version(m_epoch, found->second.version);
}

table_outcome memory_table::commit(const table_transaction& transaction)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    table_outcome outcome;
    for (const auto& condition : transaction.conditions) {
        if (!holds(condition))
            outcome.failedKeys.push_back(condition.key);
    }
    if (!outcome.failedKeys.empty())
        return outcome;
    for (const auto& write : transaction.writes) {
        if (!write.value) {
            m_rows.erase(write.key);
            outcome.versions.emplace_back();
            continue;
        }
        auto& row = m_rows[write.key];
        row.value = *write.value;
        outcome.versions.emplace_back(m_epoch, ++row.version);
    }
    outcome.committed = true;
    return outcome;
}

std::optional<table_row> memory_table::read(const std::string& key) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_rows.find(key);
    if (found == m_rows.end())
        return std::nullopt;
    return table_row { key, found->second.value, store_version(m_epoch, found->second.version) };
}

std::vector<table_row> memory_table::scan(const std::string& prefix, const std::string& after, std::size_t limit) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<table_row> rows;
    auto next = after < prefix ? m_rows.lower_bound(prefix) : m_rows.upper_bound(after);
    for (; next != m_rows.end() && rows.size() < limit; ++next) {
        if (next->first.compare(0, prefix.size(), prefix) != 0)
            break;
        rows.push_back({ next->first, next->second.value, store_version(m_epoch, next->second.version) });
    }
    return rows;
}

memory_table::contents memory_table::copy() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_rows;
}

void memory_table::restore(contents copy)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_rows = std::move(copy);
    ++m_epoch;
}

store_epoch memory_table::epoch() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_epoch;
}

} // namespace oriolepick
