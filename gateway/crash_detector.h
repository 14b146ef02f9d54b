/// \file
/// Tells crashes of targets from broken connections, and learns which requests cause them.
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

/// Drives shared_crash_ledger for one node. A connection that broke or fell silent under a request counts as a crash
/// only when nobody listens at the target's address any more, or when the target has answered nothing for a while and
/// is then gone or another one: connections break and fall silent for other reasons too.
class crash_detector {
public:
    using sender = std::function<void(const node_id& to, const crash_news& news)>;

    /// \param board tells which targets leave as planned; all references outlive this object
    crash_detector(boost::asio::io_context& loop, const node_id& self, sender send, const target_tracker& targetTracker,
        std::uint64_t seed, timer_queue& timers, decision_log& log, gateway_metrics& metrics);
    ~crash_detector();

    /// Begins to exchange with other nodes.
    void start();

    /// Sets the nodes that are believed alive, without this one.
    void setNodes(std::vector<node_id> others);

    void receive(const node_id& from, const crash_news& news);

    /// The connection to \p target broke, or fell silent, under an attempt at \p request.
    /// \param madeProgress the target had sent a part of its answer: others in flight are suspected first
    void recordLostAttempt(request_fingerprint request, const target_entry& target, bool madeProgress);

    /// \p request ran to its end at a target.
    void recordCompletion(request_fingerprint request);

    /// \return whether \p request has crashed so many targets that it must not reach another one
    bool isQuarantined(request_fingerprint request) const;

    /// \return whether a check under way may show that \p request must not reach another target
    bool isVerdictPending(request_fingerprint request) const;

private:
    struct suspect {
        request_fingerprint request;
        bool madeProgress;
    };
    /// What is known of the end of one incarnation of a target.
    struct target_end {
        std::uint64_t startedAt = 0; // of the incarnation
        std::vector<suspect> suspects; // not yet recorded
        bool checking = false;
        bool isUnresponsive = false; // not even a refusal, when it was last checked
        std::uint32_t checksLeft = 0;
        std::uint64_t crash = 0; // 0 while it is not known to have crashed
        instant crashedAt;
        std::uint32_t crashNumber = 0; // of the crash, for a target that comes back under its name
    };

    void check(const target_entry& target);
    void scheduleCheck(const target_entry& target);
    void onChecked(const target_entry& target, connection_check::outcome found);
    bool hasEnded(const target_entry& target) const;
    void recordEnd(const target_entry& target, target_end& end);
    void record(const target_name& target, target_end& end);
    void scheduleRecord(const target_name& target, std::uint64_t crash, request_fingerprint request);
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
    timer_handle m_tickTimer = 0;
    instant m_tickDue;
};

} // namespace oriolepick
