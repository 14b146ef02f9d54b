/// \file
/// `oriolepick status`: nodes, zones, targets and leases as the nodes report them.
#pragma once

#include "tool/command.h"

namespace oriolepick {

/// Runs the command with its arguments from "status" on.
exit_code runStatusCommand(const std::vector<std::string>& arguments, tool_environment& environment);

} // namespace oriolepick
