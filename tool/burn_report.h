/// \file
/// Error budgets, burn rates and alert rules, calculated from scrapes.
#pragma once

#include "tool/event_counts.h"
#include "tool/service_objective.h"

#include <array>
#include <chrono>
#include <string>
#include <vector>

namespace oriolepick {

/// One alert rule: it fires when the burn rate is above \p factor over both windows. The long window shows that the
/// budget is really being used, the short one that it still is.
struct alert_rule {
    const char* name;
    double factor;
    std::chrono::seconds shortWindow;
    std::chrono::seconds longWindow;
};

inline constexpr std::array<alert_rule, 3> AlertRules { {
    { "fast-burn", 14.4, std::chrono::minutes(5), std::chrono::hours(1) },
    { "medium-burn", 6, std::chrono::minutes(30), std::chrono::hours(6) },
    { "slow-burn", 1, std::chrono::hours(6), std::chrono::hours(72) },
} };

/// The windows of all rules, shortest first.
inline constexpr std::array<std::chrono::seconds, 5> BurnWindows { { std::chrono::minutes(5), std::chrono::minutes(30),
    std::chrono::hours(1), std::chrono::hours(6), std::chrono::hours(72) } };

/// Burn rate of an objective without error budget as soon as one event is bad.
inline constexpr double BurnWithoutBudget = 1e6;

/// Parts of the plotted history.
inline constexpr std::size_t HistoryParts = 48;

/// Events of a time range. Counts are fractional where a range cuts the time between two scrapes.
struct event_range {
    double total = 0;
    double bad = 0;
    double burn = 0; ///< 1 uses up exactly the budget; 0 without events
};

/// One objective for one fleet, deployment and priority.
struct burn_row {
    service_objective objective;
    std::string fleet;
    std::string deployment;
    std::string priority; ///< AllLabel for the sum over all
    event_range period; ///< the budget period
    double budgetLeft = 1; ///< share of the period's budget; negative when overdrawn
    std::array<event_range, BurnWindows.size()> windows;
    std::array<double, HistoryParts> history {}; ///< burn rates over equal parts of the scrapes' time
    std::vector<alert_rule> firing;
};

struct burn_report {
    wall_time from; ///< oldest scrape
    wall_time to; ///< newest scrape; all windows end here
    std::chrono::seconds period { 0 };
    std::size_t nodes = 0;
    std::size_t scrapes = 0;
    std::size_t restarts = 0; ///< seen as counters that fell
    std::vector<burn_row> rows;

    bool firing() const;
};

/// Calculates all rows.
/// \param scrapes in any order; the events between two scrapes of a node are spread evenly over the time between them
/// \param declared objectives of tickets
/// \param period over which the error budget is given
burn_report calculateBurn(
    std::vector<node_scrape> scrapes, const std::vector<service_objective>& declared, std::chrono::seconds period);

} // namespace oriolepick
