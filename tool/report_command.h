/// \file
/// `oriolepick report`: keeps scrapes of nodes and reports on service-level objectives.
#pragma once

#include "tool/command.h"

namespace oriolepick {

/// Runs the command with its arguments from "report" on.
exit_code runReportCommand(const std::vector<std::string>& arguments, tool_environment& environment);

} // namespace oriolepick
