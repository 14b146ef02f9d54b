#include "gateway/crash_recorder.h"

#include "gateway/crash_detector.h"
#include "gateway/crash_record_store.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <utility>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds CheckPeriod { 500 };
    /// Requests and parts in the record. More would not fit into one row of the store.
    constexpr std::size_t MaxNotes = 256;

} // namespace

crash_recorder::crash_recorder(crash_detector& crashes, crash_record_store& store, std::function<bool()> isKeeper,
    timer_queue& timers, decision_log& log, gateway_metrics& metrics)
    : m_crashes(crashes)
    , m_store(store)
    , m_isKeeper(std::move(isKeeper))
    , m_timers(timers)
    , m_log(log)
    , m_metrics(metrics)
    , m_keeper(crash_record_settings {})
{
}

crash_recorder::~crash_recorder()
{
    m_timers.cancel(m_timer);
}

void crash_recorder::start()
{
    m_timer = m_timers.at(m_timers.now() + CheckPeriod, [this] {
        m_timer = 0;
        check();
        start();
    });
}

void crash_recorder::storeRecovered()
{
    m_keeper.storeRecovered();
}

void crash_recorder::check()
{
    const bool isKeeper = m_isKeeper();
    switch (m_keeper.next(isKeeper, isKeeper ? ownDigest() : m_own, m_timers.now())) {
    case crash_record_keeper::step::None:
        return;
    case crash_record_keeper::step::Read:
        m_metrics.count("crash_record_reads");
        m_store.read([this](const crash_record_reading& reading) { onRead(reading); });
        return;
    case crash_record_keeper::step::Write:
        write();
        return;
    }
}

const crash_record_digest& crash_recorder::ownDigest()
{
    const auto changes = m_crashes.changes();
    if (std::exchange(m_ownChanges, changes) != changes)
        m_own = m_crashes.digestOf(m_crashes.record(MaxNotes));
    return m_own;
}

void crash_recorder::onRead(const crash_record_reading& reading)
{
    if (!reading.isRead) {
        m_log.write("crash_record_not_read", { { "problem", reading.problem } });
        m_keeper.readEnded({}, {}, m_timers.now());
        return;
    }
    m_storeNow = reading.storeNow;
    m_storeNowAt = m_timers.now();
    if (reading.revision && !reading.record) {
        m_metrics.count("crash_record_unreadable");
        m_log.write("crash_record_rejected", { { "revision", std::to_string(reading.revision) } });
    }
    crash_record_digest read;
    if (reading.record) {
        // A restored store may have an earlier clock.
        const auto since = std::max(reading.storeNow - reading.record->writtenAt, std::chrono::milliseconds(0));
        auto notes = reading.record->notes;
        for (auto& note : notes) {
            for (auto& sighting : note.sightings)
                sighting.age += since;
            if (note.sinceCleared)
                *note.sinceCleared += since;
        }
        m_crashes.mergeRecord(notes);
        read = m_crashes.digestOf(notes);
        if (!notes.empty())
            m_log.write("crash_record_read",
                { { "entries", std::to_string(notes.size()) }, { "age_ms", std::to_string(since.count()) } });
    }
    m_keeper.readEnded(reading.revision, read, m_timers.now());
    check();
}

// The clock of the store as it is at least: so the crashes are never recorded later than they were.
std::chrono::milliseconds crash_recorder::storeNow() const
{
    return m_storeNow + std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_storeNowAt);
}

void crash_recorder::write()
{
    const crash_record record { storeNow(), m_crashes.record(MaxNotes) };
    m_metrics.count("crash_record_writes");
    m_log.write("crash_record_written", { { "entries", std::to_string(record.notes.size()) } });
    m_store.write(
        record, m_keeper.expectedRevision(), [this](const crash_record_writing& writing) { onWritten(writing); });
}

void crash_recorder::onWritten(const crash_record_writing& writing)
{
    if (writing.outcome == record_write_outcome::Unknown)
        m_log.write("crash_record_not_written", { { "problem", writing.problem } });
    if (writing.outcome == record_write_outcome::Written) {
        m_storeNow = writing.storeNow;
        m_storeNowAt = m_timers.now();
    }
    m_keeper.writeEnded(writing.outcome, writing.revision, m_timers.now());
}

} // namespace oriolepick
