#include "core/ticket.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <array>

namespace oriolepick {

std::string_view toString(object_kind kind)
{
    constexpr std::array<std::string_view, 9> Words { "fleet", "team", "model", "deployment", "service", "target",
        "alias", "policy", "objective" };
    return Words.at(static_cast<std::size_t>(kind));
}

std::string toString(const std::vector<field_error>& errors)
{
    std::string text;
    for (const auto& error : errors)
        absl::StrAppend(&text, text.empty() ? "" : "; ", error.path, error.path.empty() ? "" : ": ", error.problem);
    return text;
}

std::string ticketRowKey(ticket_number number)
{
    return absl::StrFormat("ticket/%012u", number);
}

} // namespace oriolepick
