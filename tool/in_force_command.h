/// \file
/// `oriolepick in-force`: reads back the state in force of the platform's tickets or of a node.
#pragma once

#include "tool/command.h"

namespace oriolepick {

/// Runs the command with its arguments from "in-force" on.
exit_code runInForceCommand(const std::vector<std::string>& arguments, tool_environment& environment);

} // namespace oriolepick
