/// \file
/// The body of an error answer.
#pragma once

#include "core/error.h"

#include <optional>
#include <string>

namespace oriolepick {

/// \param problem the error to report
/// \param run overrides the table's statement about the work, only to say less: a refusal that is not proved
/// \return the JSON body of section 5.1 of the design page
std::string errorBody(const error& problem, std::optional<run_state> run = std::nullopt);

} // namespace oriolepick
