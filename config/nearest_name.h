/// \file
/// Suggests the known name that is nearest to an unknown one.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// \return the known name with the smallest edit distance, if at most half of the longer name has to change
std::optional<std::string> nearestName(std::string_view unknown, const std::vector<std::string>& known);

/// \return "unknown field, did you mean 'x'?" or, without a near name, "unknown field, known are: …"
std::string unknownFieldProblem(std::string_view unknown, const std::vector<std::string>& known);

} // namespace oriolepick
