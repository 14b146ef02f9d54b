/// \file
/// Suggests the known name that is closest to a misspelled one, for error messages about unknown fields.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// \param name the unknown name
/// \param known all allowed names
/// \return the known name with the smallest edit distance, empty when none is similar enough to be a likely slip
std::string nearestName(std::string_view name, const std::vector<std::string_view>& known);

} // namespace oriolepick
