#include "gateway/node_directory.h"

#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/row_writer.h"

#include <algorithm>

namespace oriolepick {

namespace {

    constexpr const char* TableName = "gateways";
    constexpr std::chrono::milliseconds CheckPeriod { 500 };
    /// Nodes that start together respond to each other within this time.
    constexpr std::chrono::milliseconds InitialInterval { 1'000 };
    /// Interval between two discoveries. While a node stays isolated, the interval doubles from InitialInterval up to
    /// this limit. Two partitions find each other within this time.
    constexpr std::chrono::milliseconds MaxInterval { 15'000 };

} // namespace

node_directory::node_directory(std::string name, node_row self, row_source& source, row_writer& writer,
    timer_queue& timers, callbacks callbacks, decision_log& log, gateway_metrics& metrics)
    : m_name(std::move(name))
    , m_self(std::move(self))
    , m_source(source)
    , m_writer(writer)
    , m_timers(timers)
    , m_callbacks(std::move(callbacks))
    , m_log(log)
    , m_metrics(metrics)
    , m_interval(InitialInterval)
{
}

void node_directory::start()
{
    m_nextDiscovery = m_timers.now() + InitialInterval;
    m_timers.at(m_timers.now() + CheckPeriod, [this] { check(); });
}

void node_directory::discoverAgain()
{
    m_interval = InitialInterval;
    m_nextDiscovery = m_timers.now();
}

void node_directory::check()
{
    const auto now = m_timers.now();
    const bool isolated = m_callbacks.isIsolated();
    if (!isolated)
        m_interval = MaxInterval;
    if (now >= m_nextDiscovery && (isolated || m_callbacks.isReader())) {
        m_nextDiscovery = now + m_interval;
        m_interval = std::min(2 * m_interval, MaxInterval);
        runDiscovery();
    }
    m_timers.at(now + CheckPeriod, [this] { check(); });
}

void node_directory::runDiscovery()
{
    m_metrics.count("node_meetings");
    m_writer.put(TableName, m_name, encodeNodeRow(m_self), [this](bool written, const std::string& problem) {
        if (!written)
            m_log.write("registration_failed", { { "problem", problem } });
    });
    m_source.readAll(TableName, [this](const row_answer& answer) { onRows(answer); });
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
    m_callbacks.onNodesFound(found);
}

} // namespace oriolepick
