/// \file
/// `oriolepick ticket`: checks, files and reads back change tickets.
#pragma once

#include "tool/command.h"

namespace oriolepick {

/// Runs the command with its arguments from "ticket" on.
exit_code runTicketCommand(const std::vector<std::string>& arguments, tool_environment& environment);

} // namespace oriolepick
