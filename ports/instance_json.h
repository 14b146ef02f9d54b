/// \file
/// The JSON form of the instance list: {"instances":[{"address","zone","kind","state":"live|leaving"}]}.
#pragma once

#include "ports/instance_list.h"

#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// \return the body of GET /instances
std::string encodeInstances(const std::vector<instance_record>& instances);

/// \return the instances in \p body, or BadRequest naming the field
result<std::vector<instance_record>> parseInstances(std::string_view body);

} // namespace oriolepick
