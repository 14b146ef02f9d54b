#include "node/trace_store.h"

#include <absl/strings/str_format.h>

namespace oriolepick {

namespace {

    constexpr std::size_t MaximumLinesPerRequest = 64;

} // namespace

trace_store::trace_store(std::size_t capacity)
    : m_capacity(capacity)
{
}

void trace_store::record(const request_key& key, wall_time at, const std::string& line)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
    auto text = absl::StrFormat("%d.%03d %s", milliseconds / 1000, milliseconds % 1000, line);
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto [found, inserted] = m_lines.try_emplace(key.text());
    if (inserted) {
        m_order.push_back(found->first);
        if (m_order.size() > m_capacity) {
            m_lines.erase(m_order.front());
            m_order.pop_front();
        }
    }
    if (found->second.size() < MaximumLinesPerRequest)
        found->second.push_back(std::move(text));
}

std::vector<std::string> trace_store::lines(const std::string& key) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_lines.find(key);
    return found == m_lines.end() ? std::vector<std::string>() : found->second;
}

} // namespace oriolepick
