/// \file
/// What every request of a gateway works with.
#pragma once

#include <functional>

namespace oriolepick {

class answer_pace;
class config_in_force;
class copy_orders;
class decision_log;
class gateway_metrics;
class link_pool;
class place_line;
class prompt_pace;
class replacement_finder;
class request_dialect;
class retry_allowance;
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
    link_pool& links;
    target_board& board;
    target_prober& prober;
    target_notices& notices;
    copy_orders& copies;
    replacement_finder& replacements;
    retry_allowance& allowance;
    answer_pace& pace;
    prompt_pace& promptPace;
    place_line& places;
    seeded_random& random;
    config_in_force& config;
    std::function<bool()> registryIsAway; ///< targets that are gone are not reported
    std::function<void()> targetsOutdated; ///< a target was found to be another than its registration says
    decision_log& log;
    gateway_metrics& metrics;
};

} // namespace oriolepick
