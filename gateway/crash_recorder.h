/// \file
/// Keeps crashes in the platform's store, so that they outlive the processes of all nodes.
#pragma once

#include "gateway/timer_queue.h"
#include "routing/crash_record_keeper.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace oriolepick {

class crash_detector;
class crash_record_store;
class decision_log;
class gateway_metrics;
struct crash_record_reading;
struct crash_record_writing;

/// Drives crash_record_keeper for one node.
class crash_recorder {
public:
    /// All references outlive this object.
    /// \param isKeeper whether this node keeps the record
    crash_recorder(crash_detector& crashes, crash_record_store& store, std::function<bool()> isKeeper,
        timer_queue& timers, decision_log& log, gateway_metrics& metrics);
    ~crash_recorder();

    /// Starts to check periodically whether the record must be read or written.
    void start();

    /// Records that the store may have lost the record, or contain an older one.
    void storeRecovered();

private:
    void check();
    const crash_record_digest& ownDigest();
    void onRead(const crash_record_reading& reading);
    void write();
    void onWritten(const crash_record_writing& writing);
    std::chrono::milliseconds storeNow() const;

    crash_detector& m_crashes;
    crash_record_store& m_store;
    std::function<bool()> m_isKeeper;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    crash_record_keeper m_keeper;
    timer_handle m_timer = 0;
    crash_record_digest m_own; // of the crashes after m_ownChanges
    std::uint64_t m_ownChanges = 0;
    std::chrono::milliseconds m_storeNow { 0 }; // last reported clock of the store
    instant m_storeNowAt; // when it was reported
};

} // namespace oriolepick
