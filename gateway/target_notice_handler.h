/// \file
/// Handling of the notices in a target's response: an announced shutdown, a requested pause, or a request limit.
#pragma once

#include "routing/routing_names.h"

#include <cstdint>
#include <string>

namespace oriolepick {

class decision_log;
class gateway_metrics;
class target_connection_pool;
class target_permits;
class target_tracker;
class timer_queue;
struct target_reply;

/// Applies notices to the target tracker, for responses to requests and probes alike.
class target_notice_handler {
public:
    /// All references outlive this object.
    target_notice_handler(timer_queue& timers, target_tracker& targetTracker, target_permits& permits,
        target_connection_pool& connectionPool, decision_log& log, gateway_metrics& metrics);

    /// Applies the notices in \p reply, which \p target at \p address has sent.
    /// \param startedAt start of the incarnation that the request was sent to
    void apply(
        const target_name& target, const std::string& address, std::uint64_t startedAt, const target_reply& reply);

private:
    timer_queue& m_timers;
    target_tracker& m_targetTracker;
    target_permits& m_permits;
    target_connection_pool& m_connectionPool;
    decision_log& m_log;
    gateway_metrics& m_metrics;
};

} // namespace oriolepick
