/// \file
/// Burn reports as a table for people and as JSON for programs.
#pragma once

#include <string>

namespace oriolepick {

struct burn_report;
struct service_objective;

/// \return the goal in words, for example "95% within 780 ms"
std::string goalText(const service_objective& objective);

/// \return a burn rate with its sign for "no budget at all", for example "14.4" or "no budget"
std::string burnText(double burn);

/// \return a time as "5 min", "6 h" or "3 d"
std::string windowText(long seconds);

/// \return UTC time, for example "2026-12-04 03:20:21 UTC"
std::string timeText(long unixSeconds);

/// \return alerts first, then one line for each row
std::string burnTable(const burn_report& report);

/// \return one JSON object
std::string burnJson(const burn_report& report);

} // namespace oriolepick
