/// \file
/// Follows one table of the platform's store through outages, lost history and slow answers.
#pragma once

#include "core/instant.h"
#include "gateway/row_replica.h"
#include "gateway/row_source.h"
#include "gateway/timer_queue.h"

#include <functional>
#include <string>

namespace oriolepick {

class decision_log;
class gateway_metrics;
class seeded_random;

/// How often a table is read.
struct watch_settings {
    std::chrono::milliseconds wait { 0 }; ///< the store holds a reading this long when nothing changed
    std::chrono::milliseconds pause { 0 }; ///< between two readings
    std::chrono::milliseconds hurryPause { 300 }; ///< least time between two readings, however urgent
    std::chrono::milliseconds retryPause { 250 }; ///< after a failed reading; doubled up to longestRetryPause
    std::chrono::milliseconds longestRetryPause { 1'000 }; ///< news may be this late after an outage
};

/// What a watch reports.
struct watch_events {
    std::function<void(const std::vector<stored_row>&)> onAll; ///< the whole table
    std::function<void(const std::vector<stored_row>&)> onChanges; ///< rows that changed since, at least one
    /// Whether a changed row says anything new; others are not handed on to other nodes. All are news without it.
    /// Called before onChanges.
    std::function<bool(const stored_row&)> isNews;
    std::function<void()> onReturned; ///< the store answers again after failures, before any rows are reported
};

/// Reads for ever once it is started.
class table_watch {
public:
    table_watch(std::string table, row_source& source, timer_queue& timers, seeded_random& random, decision_log& log,
        gateway_metrics& metrics, const watch_settings& settings, watch_events events);

    void start();

    /// Reads changes now instead of after the pause.
    void hurry();

    /// \return whether the table has been read at least once
    bool isKnown() const { return m_known; }

    /// \return whether the last reading failed
    bool isFailing() const { return m_failures > 0; }

    /// \return what was read lately, for other nodes
    const row_replica& replica() const { return m_replica; }

    /// Changes the pause between two readings.
    void setPause(std::chrono::milliseconds pause) { m_settings.pause = pause; }

private:
    void read();
    void onAnswer(const row_answer& answer, bool whole);
    row_answer newsOf(const row_answer& answer) const;
    void onFailure(const row_answer& answer);
    void schedule(std::chrono::milliseconds pause);

    std::string m_table;
    row_source& m_source;
    timer_queue& m_timers;
    seeded_random& m_random;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    watch_settings m_settings;
    watch_events m_events;
    bool m_known = false;
    bool m_readWhole = true;
    bool m_reading = false;
    std::uint64_t m_revision = 0;
    std::uint32_t m_failures = 0;
    instant m_lastAnswer;
    row_replica m_replica;
    timer_handle m_timer = 0;
};

} // namespace oriolepick
