/// \file
/// `oriolepick trace`: follows one request across nodes.
#pragma once

#include "tool/command.h"

namespace oriolepick {

/// Runs the command with its arguments from "trace" on.
exit_code runTraceCommand(const std::vector<std::string>& arguments, tool_environment& environment);

} // namespace oriolepick
