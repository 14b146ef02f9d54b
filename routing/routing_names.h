/// \file
/// Identifiers of services, targets and teams; the values come from the configuration in force and from target
/// registrations.
#pragma once

#include "core/identifier.h"

namespace oriolepick {

using service_name = identifier<struct service_name_tag>; ///< A routed service, unique within one deployment.
using target_name = identifier<struct target_name_tag>; ///< One incarnation of a target.
using team_name = identifier<struct team_name_tag>; ///< A team of callers, unique within one deployment.

} // namespace oriolepick
