/// \file
/// Tickets as JSON: checked parse with every error at once, and the canonical text that is stored and compared.
#pragma once

#include "core/ticket.h"

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

constexpr std::size_t MaxTicketBytes = 1'048'576;
constexpr std::size_t MaxTicketObjects = 2'000;

/// The result of a checked parse: a value, or at least one error.
template <typename Value> struct checked_parse {
    std::optional<Value> value;
    std::vector<field_error> errors;
};

/// Parses a ticket's JSON. Checks form and limits only; validate() checks it against the state in force.
checked_parse<ticket> parseTicket(std::string_view text);

/// \return the canonical JSON of \p change: equal tickets give equal texts
std::string encodeTicket(const ticket& change);

/// \return one object as in a ticket: kind, fleet, name, and state or deleted
nlohmann::json encodeObject(const ticket_object& object);

/// Reads one object as in a ticket.
/// \param path the object's path for error messages
std::optional<ticket_object> readObject(
    const nlohmann::json& json, const std::string& path, std::vector<field_error>& errors);

/// Parses JSON without exceptions, and reports malformed text, nesting deeper than 16 and repeated names.
/// \param mostBytes largest accepted size
std::optional<nlohmann::json> parseCheckedJson(
    std::string_view text, std::size_t mostBytes, std::vector<field_error>& errors);

} // namespace oriolepick
