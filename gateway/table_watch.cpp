#include "gateway/table_watch.h"

#include "core/seeded_random.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <algorithm>

namespace oriolepick {

table_watch::table_watch(std::string table, row_source& source, timer_queue& timers, seeded_random& random,
    decision_log& log, gateway_metrics& metrics, const watch_settings& settings, watch_events events)
    : m_table(std::move(table))
    , m_source(source)
    , m_timers(timers)
    , m_random(random)
    , m_log(log)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_events(std::move(events))
{
}

void table_watch::start()
{
    read();
}

void table_watch::hurry()
{
    if (m_reading || m_failures || m_timers.now() < m_lastAnswer + m_settings.hurryPause)
        return;
    m_timers.cancel(m_timer);
    read();
}

void table_watch::read()
{
    m_reading = true;
    if (m_readWhole) {
        m_source.readAll(m_table, [this](const row_answer& answer) { onAnswer(answer, true); });
        return;
    }
    m_source.readChanges(m_table, m_revision, m_failures ? std::chrono::milliseconds(0) : m_settings.wait,
        [this](const row_answer& answer) { onAnswer(answer, false); });
}

void table_watch::onAnswer(const row_answer& answer, bool whole)
{
    m_reading = false;
    if (answer.status == row_status::HistoryLost) {
        m_log.write("history_lost", { { "table", m_table }, { "revision", std::to_string(m_revision) } });
        m_metrics.count("registry_history_lost");
        m_readWhole = true;
        read();
        return;
    }
    if (answer.status != row_status::Done) {
        onFailure(answer);
        return;
    }
    m_lastAnswer = m_timers.now();
    if (m_failures) {
        m_log.write("store_regained", { { "table", m_table }, { "failures", std::to_string(m_failures) } });
        m_failures = 0;
        if (m_events.onReturned)
            m_events.onReturned();
    }
    m_revision = answer.revision;
    m_known = true;
    m_readWhole = false;
    const auto asOf = m_lastAnswer - answer.age;
    if (whole)
        m_replica.restart(answer.revision, asOf);
    else
        m_replica.add(newsOf(answer), asOf);
    if (whole)
        m_events.onAll(answer.rows);
    else if (!answer.rows.empty())
        m_events.onChanges(answer.rows);
    schedule(m_settings.pause);
}

row_answer table_watch::newsOf(const row_answer& answer) const
{
    row_answer news;
    news.revision = answer.revision;
    for (const auto& row : answer.rows) {
        if (!m_events.isNews || m_events.isNews(row))
            news.rows.push_back(row);
    }
    return news;
}

void table_watch::onFailure(const row_answer& answer)
{
    m_metrics.count("registry_errors");
    if (!m_failures)
        m_log.write("store_lost", { { "table", m_table }, { "problem", answer.problem } });
    const auto pause
        = std::min(m_settings.retryPause * (1 << std::min<std::uint32_t>(m_failures, 4)), m_settings.longestRetryPause);
    ++m_failures;
    schedule(std::chrono::milliseconds(static_cast<std::int64_t>(pause.count() * (0.7 + 0.3 * m_random.unit()))));
}

void table_watch::schedule(std::chrono::milliseconds pause)
{
    if (!pause.count()) {
        read();
        return;
    }
    m_timer = m_timers.at(m_timers.now() + pause, [this] {
        m_timer = 0;
        read();
    });
}

} // namespace oriolepick
