/// \file
/// Burn reports as one HTML page that loads nothing from elsewhere.
#pragma once

#include <string>

namespace oriolepick {

struct burn_report;

/// \return the page with its styles and inline SVG plots
std::string burnHtml(const burn_report& report);

} // namespace oriolepick
