/// \file
/// Log lines of the node, through log4cxx. Lines are written only for changes of state; everything frequent is a
/// counter in node_metrics.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace oriolepick {

/// Name and value of one field of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Configures log4cxx; must be called before the first line is written.
/// \param format "text" or "json"
/// \param level "debug", "info", "warn" or "error"
void configureLog(const std::string& format, const std::string& level);

/// Writes an informational line "event name=value …".
void logInfo(std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes a warning: the node goes on, but an operator may want to act.
void logWarning(std::string_view event, std::initializer_list<log_field> fields = {});

/// Writes an error: a function of the node is lost.
void logError(std::string_view event, std::initializer_list<log_field> fields = {});

} // namespace oriolepick
