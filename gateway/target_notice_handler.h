/// \file
/// Handling of the notices in a target's response: an announced shutdown, or a requested pause.
#pragma once

#include "routing/routing_names.h"

#include <map>
#include <string>

namespace oriolepick {

class decision_log;
class gateway_metrics;
class target_connection_pool;
class target_tracker;
class timer_queue;
struct target_reply;

/// Applies notices to the target tracker, for responses to requests and probes alike.
class target_notice_handler {
public:
    /// All references outlive this object.
    target_notice_handler(timer_queue& timers, target_tracker& targetTracker, target_connection_pool& connectionPool,
        decision_log& log, gateway_metrics& metrics);

    /// Applies the notices in \p reply, which \p target at \p address has sent.
    void apply(const target_name& target, const std::string& address, const target_reply& reply);

private:
    void recordLimit(const target_name& target, const target_reply& reply);

    timer_queue& m_timers;
    target_tracker& m_targetTracker;
    target_connection_pool& m_connectionPool;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    std::map<target_name, double> m_namedLimits; // in the last response, requests per second
};

} // namespace oriolepick
