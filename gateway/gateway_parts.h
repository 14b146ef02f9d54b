/// \file
/// The components of a gateway that every request uses.
#pragma once

#include "gateway/stop_schedule.h"

#include <functional>
#include <optional>

namespace oriolepick {

class response_time_estimator;
class rollout_driver;
class absence_detector;
class active_config;
class run_copy_client;
class crash_detector;
class decision_log;
class gateway_metrics;
class generation_time_estimator;
class target_connection_pool;
class memory_budget;
class admission_queue;
class path_monitor;
class place_allocation;
class prefill_time_estimator;
class replacement_finder;
class request_dialect;
class node_retry_budget;
class retry_sharing;
class run_handover;
class seeded_random;
class target_tracker;
class target_notice_handler;
class target_permits;
class target_prober;
class timer_queue;
struct gateway_settings;

/// References to the components of one gateway; all outlive every request.
struct gateway_parts {
    const gateway_settings& settings;
    const request_dialect& dialect;
    timer_queue& timers;
    memory_budget& memory;
    target_connection_pool& targetConnections;
    target_tracker& targetTracker;
    target_permits& permits;
    target_prober& prober;
    absence_detector& absences;
    target_notice_handler& notices;
    run_copy_client& copies;
    crash_detector& crashes;
    replacement_finder& replacements;
    run_handover& handover;
    node_retry_budget& retryBudget;
    retry_sharing& retrySharing;
    response_time_estimator& responseTimes;
    prefill_time_estimator& prefillTimes;
    path_monitor& paths;
    generation_time_estimator& generationTimes;
    admission_queue& admissionQueue;
    place_allocation& places;
    seeded_random& random;
    active_config& config;
    /// Returns whether the store cannot be read; targets that are gone are not reported then.
    std::function<bool()> isStoreUnavailable;
    /// Returns the times of the planned stop, if this node is stopping.
    std::function<std::optional<stop_schedule>()> stopSchedule;
    /// Called when a process that does not match a target's registration responded.
    std::function<void()> onTargetsOutdated;
    decision_log& log;
    gateway_metrics& metrics;
    rollout_driver* rollouts = nullptr; ///< null while rollouts of versions are switched off
};

} // namespace oriolepick
