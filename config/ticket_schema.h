/// \file
/// The published JSON schema of tickets, generated from the same description as the parser.
#pragma once

#include <string>

namespace oriolepick {

/// \return the JSON schema of a ticket, as in docs/ticket.schema.json
std::string ticketSchema();

} // namespace oriolepick
