/// \file
/// What every request of a gateway works with.
#pragma once

#include "core/instant.h"

#include <functional>
#include <optional>

namespace oriolepick {

class response_time_estimator;
class active_config;
class run_copy_client;
class crash_detector;
class decision_log;
class gateway_metrics;
class generation_time_estimator;
class target_connection_pool;
class memory_budget;
class admission_queue;
class prefill_time_estimator;
class replacement_finder;
class request_dialect;
class node_retry_budget;
class run_handover;
class seeded_random;
class target_tracker;
class target_notice_handler;
class target_prober;
class timer_queue;
struct gateway_settings;

/// References to the parts of one gateway; all outlive every request.
struct gateway_parts {
    const gateway_settings& settings;
    const request_dialect& dialect;
    timer_queue& timers;
    memory_budget& memory;
    target_connection_pool& targetConnections;
    target_tracker& targetTracker;
    target_prober& prober;
    target_notice_handler& notices;
    run_copy_client& copies;
    crash_detector& crashes;
    replacement_finder& replacements;
    run_handover& handover;
    node_retry_budget& retryBudget;
    response_time_estimator& responseTimes;
    prefill_time_estimator& prefillTimes;
    generation_time_estimator& generationTimes;
    admission_queue& admissionQueue;
    seeded_random& random;
    active_config& config;
    std::function<bool()> isStoreUnavailable; ///< targets that are gone are not reported
    /// When this node stops, if it is stopping: answers that are not whole by then are cut.
    std::function<std::optional<instant>()> stopsAt;
    std::function<void()> onTargetsOutdated; ///< a target was found to be another than its registration says
    decision_log& log;
    gateway_metrics& metrics;
};

} // namespace oriolepick
