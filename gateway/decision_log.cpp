#include "gateway/decision_log.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace oriolepick {

decision_log::decision_log(int descriptor, std::string node, std::uint32_t linesPerSecond)
    : m_descriptor(descriptor)
    , m_node(std::move(node))
    , m_linesPerSecond(linesPerSecond)
{
    fcntl(m_descriptor, F_SETFL, fcntl(m_descriptor, F_GETFL, 0) | O_NONBLOCK);
}

void decision_log::write(std::string_view event, std::initializer_list<field> fields)
{
    const auto now = std::chrono::steady_clock::now();
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_linesThisSecond = 0;
    }
    if (++m_linesThisSecond > m_linesPerSecond || m_pending.size() > MaxPendingBytes) {
        ++m_dropped;
        return;
    }
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    nlohmann::ordered_json line { { "time_ms", std::chrono::duration_cast<std::chrono::milliseconds>(wall).count() },
        { "node", m_node }, { "event", event } };
    for (const auto& [name, value] : fields)
        line[std::string(name)] = value;
    if (m_dropped != m_reportedDropped) {
        line["dropped_lines"] = m_dropped - m_reportedDropped;
        m_reportedDropped = m_dropped;
    }
    m_pending += line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    m_pending += '\n';
}

void decision_log::flush()
{
    if (m_pending.empty())
        return;
    const auto written = ::write(m_descriptor, m_pending.data(), m_pending.size());
    if (written > 0)
        m_pending.erase(0, static_cast<std::size_t>(written));
}

} // namespace oriolepick
