/// \file
/// What every request of a gateway works with.
#pragma once

#include "core/instant.h"

#include <functional>
#include <optional>

namespace oriolepick {

class answer_pace;
class config_in_force;
class copy_orders;
class crash_watch;
class decision_log;
class gateway_metrics;
class generation_pace;
class link_pool;
class memory_budget;
class place_line;
class prompt_pace;
class replacement_finder;
class request_dialect;
class retry_allowance;
class run_handover;
class seeded_random;
class target_board;
class target_notices;
class target_prober;
class timer_queue;
struct gateway_settings;

/// References to the parts of one gateway; all outlive every request.
struct gateway_parts {
    const gateway_settings& settings;
    const request_dialect& dialect;
    timer_queue& timers;
    memory_budget& memory;
    link_pool& links;
    target_board& board;
    target_prober& prober;
    target_notices& notices;
    copy_orders& copies;
    crash_watch& crashes;
    replacement_finder& replacements;
    run_handover& handover;
    retry_allowance& allowance;
    answer_pace& pace;
    prompt_pace& promptPace;
    generation_pace& generationPace;
    place_line& places;
    seeded_random& random;
    config_in_force& config;
    std::function<bool()> registryIsAway; ///< targets that are gone are not reported
    /// When this node stops, if it is stopping: answers that are not whole by then are cut.
    std::function<std::optional<instant>()> stopsAt;
    std::function<void()> targetsOutdated; ///< a target was found to be another than its registration says
    decision_log& log;
    gateway_metrics& metrics;
};

} // namespace oriolepick
