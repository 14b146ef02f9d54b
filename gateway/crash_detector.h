/// \file
/// Distinguishes crashes of targets from broken connections, and records which requests were in flight.
#pragma once

#include "gateway/connection_check.h"
#include "gateway/timer_queue.h"
#include "routing/shared_crash_ledger.h"
#include "routing/target_tracker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace oriolepick {

class decision_log;
class gateway_metrics;

/// Drives shared_crash_ledger for one node. A connection that broke or timed out under a request counts as a crash only
/// when no process listens at the target's address any more, or when within a few seconds the target's registration is
/// gone or belongs to another incarnation: connections break and time out for other reasons too, and something else may
/// go on listening at the address.
class crash_detector {
public:
    using sender = std::function<void(const node_id& to, const crash_news& news)>;

    /// All references outlive this object.
    /// \param targetTracker reports which targets leave as planned
    crash_detector(boost::asio::io_context& loop, const node_id& self, sender send, const target_tracker& targetTracker,
        std::uint64_t seed, timer_queue& timers, decision_log& log, gateway_metrics& metrics);
    ~crash_detector();

    /// Starts exchanging crash reports with other nodes.
    void start();

    /// Sets the nodes that are believed alive, without this one.
    void setNodes(std::vector<node_id> others);

    void receive(const node_id& from, const crash_news& news);

    /// Records that the connection to \p target broke or timed out during an attempt of \p request.
    /// \param madeProgress the target had sent a part of its response: requests without progress are suspected first,
    /// and their parts not at all
    void recordLostAttempt(const crash_suspect& request, const target_entry& target, bool madeProgress);

    /// Records that a target began to write the answer of a request with these shared parts, which clears them.
    void recordStart(const std::vector<request_fingerprint>& parts);

    /// Records that a target completed \p request, which clears it.
    void recordCompletion(request_fingerprint request);

    /// \return whether \p request, or a part of it, has crashed so many targets that it must not be dispatched
    bool isQuarantined(const crash_suspect& request) const;

    /// Asks whether \p request may be sent once although parts of it are quarantined.
    trial_answer requestTrial(const crash_suspect& request);

    /// See shared_crash_ledger.
    std::vector<crash_note> record(std::size_t maxNotes) { return m_ledger.record(maxNotes, m_timers.now()); }
    void mergeRecord(const std::vector<crash_note>& notes);
    crash_record_digest digestOf(const std::vector<crash_note>& notes) const;
    std::uint64_t changes() const { return m_ledger.changes(); }

    /// \return whether a pending connection check may show that \p request must not be dispatched
    bool isVerdictPending(request_fingerprint request) const;

private:
    struct suspect {
        crash_suspect request;
        bool madeProgress;
    };
    /// State of the check whether one incarnation of a target has crashed.
    struct target_end {
        std::uint64_t startedAt = 0; // of the incarnation
        std::vector<suspect> suspects; // not yet recorded in the ledger
        bool checking = false;
        bool isUnresponsive = false; // the last check received neither an acceptance nor a refusal
        bool isWatched = false; // something listens at the address; the registration decides
        std::uint32_t checkNumber = 0; // checks of earlier incarnations are ignored
        std::uint32_t checksLeft = 0;
        std::uint64_t crash = 0; // identifier of the crash, 0 until the incarnation is known to have crashed
        instant crashedAt;
        std::uint32_t crashNumber = 0; // distinguishes crashes of a target that restarts under the same registration
    };

    void startChecks(const target_entry& target, target_end& end);
    void check(const target_entry& target, std::uint32_t checkNumber);
    void scheduleCheck(const target_entry& target, std::uint32_t checkNumber);
    void onChecked(const target_entry& target, std::uint32_t checkNumber, connection_check::outcome found);
    void watchRegistration(const target_entry& target, std::uint32_t checkNumber);
    bool hasEnded(const target_entry& target) const;
    bool hasCrashed(const target_entry& target) const;
    void recordEnd(const target_entry& target, target_end& end);
    void record(const target_name& target, target_end& end);
    void scheduleRecord(const target_name& target, std::uint64_t crash, request_fingerprint request);
    bool isQuarantined(request_fingerprint fingerprint) const;
    void logQuarantine(request_fingerprint fingerprint, const target_name& target);
    void perform(const shared_crash_ledger::actions& actions);
    void scheduleTick(instant due);
    void removeExpired();

    boost::asio::io_context& m_loop;
    sender m_send;
    const target_tracker& m_targetTracker;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    shared_crash_ledger m_ledger;
    std::map<target_name, target_end> m_ends;
    std::map<std::uint64_t, std::shared_ptr<connection_check>> m_checks; // under way
    std::uint64_t m_lastCheck = 0;
    timer_handle m_tickTimer = 0;
    instant m_tickDue;
};

} // namespace oriolepick
