/// \file
/// Reads a node's settings from JSON and checks every field before anything starts. The table of fields is also the
/// source of the settings reference page.
#pragma once

#include "config/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// One problem of a settings file.
struct settings_error {
    std::string path; ///< path of the field, for example "callers.listen"
    std::string message; ///< problem of its value, with the nearest known name for an unknown field
};

/// Parsed settings or all problems found.
struct settings_outcome {
    std::optional<settings> value;
    std::vector<settings_error> errors;
};

/// \param text the JSON document, at most 1 MiB
/// \return the settings, or every problem at once
settings_outcome parseSettings(std::string_view text);

/// \return the reference of all fields as a Markdown table: path, default, range with unit, meaning
std::string settingsReference();

} // namespace oriolepick
