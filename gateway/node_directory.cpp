#include "gateway/node_directory.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/row_writer.h"

#include <algorithm>

namespace oriolepick {

namespace {

    constexpr const char* Table = "gateways";
    constexpr std::chrono::milliseconds CheckPeriod { 500 };
    /// Nodes that start together respond to each other within this time.
    constexpr std::chrono::milliseconds FirstPause { 1'000 };
    /// Interval between two discoveries. While a node stays isolated, the interval doubles from InitialInterval up to
    /// this limit. Two partitions find each other within this time.
    constexpr std::chrono::milliseconds LongestPause { 15'000 };

} // namespace

node_directory::node_directory(std::string name, node_row self, row_source& source, row_writer& writer,
    timer_queue& timers, links links, decision_log& log, gateway_metrics& metrics)
    : m_name(std::move(name))
    , m_self(std::move(self))
    , m_source(source)
    , m_writer(writer)
    , m_timers(timers)
    , m_links(std::move(links))
    , m_log(log)
    , m_metrics(metrics)
    , m_pause(FirstPause)
{
}

void node_directory::start()
{
    m_nextMeeting = m_timers.now() + FirstPause;
    m_timers.at(m_timers.now() + CheckPeriod, [this] { check(); });
}

void node_directory::check()
{
    const auto now = m_timers.now();
    const bool alone = m_links.isAlone();
    if (!alone)
        m_pause = LongestPause;
    if (now >= m_nextMeeting && (alone || m_links.isReader())) {
        m_nextMeeting = now + m_pause;
        m_pause = std::min(2 * m_pause, LongestPause);
        meet();
    }
    m_timers.at(now + CheckPeriod, [this] { check(); });
}

void node_directory::meet()
{
    m_metrics.count("node_meetings");
    m_writer.put(Table, m_name, encodeNodeRow(m_self), [this](bool written, const std::string& problem) {
        if (!written)
            m_log.write("registration_failed", { { "problem", problem } });
    });
    m_source.readAll(Table, [this](const row_answer& answer) { onRows(answer); });
}

void node_directory::onRows(const row_answer& answer)
{
    if (answer.status != row_status::Done) {
        m_log.write("nodes_not_read", { { "problem", answer.problem } });
        return;
    }
    std::vector<node_id> found;
    for (const auto& row : answer.rows) {
        if (const auto other = decodeNodeRow(row.value))
            found.push_back(other->node);
        else
            m_metrics.count("unreadable_nodes");
    }
    m_links.onFound(found);
}

} // namespace oriolepick
