/// \file
/// Files one ticket and waits until nodes have it in force.
#pragma once

#include "core/ticket.h"
#include "tool/command.h"

#include <chrono>
#include <string>
#include <vector>

namespace oriolepick {

class ticket_store;

/// What to file and whom to wait for.
struct filing_request {
    ticket change;
    std::vector<std::string> waitFor; ///< addresses of nodes; empty for not waiting
    std::string token; ///< the operators' token for the nodes
    std::chrono::milliseconds timeout { 60'000 };
};

/// Files the ticket, writes a snapshot when one is due, and waits. A failed snapshot does not fail the command: the
/// next filing writes it.
exit_code fileTicket(const filing_request& request, ticket_store& store, bool json, tool_environment& environment);

} // namespace oriolepick
