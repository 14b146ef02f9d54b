/// \file
/// Reads a gateway's settings from JSON and validates them.
#pragma once

#include "config/field_reader.h"
#include "gateway/gateway_settings.h"

#include <string_view>
#include <vector>

namespace oriolepick {

/// \param text contents of the settings file
/// \param problems receives every problem with the path of its field
/// \return the settings; usable only when there is no problem
gateway_settings readGatewaySettings(std::string_view text, std::vector<field_error>& problems);

} // namespace oriolepick
