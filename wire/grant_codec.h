/// \file
/// Demand reports and grants between core's structs and protobuf.
#pragma once

#include "core/team_grant.h"

#include <optional>

namespace oriolepick {

namespace wire {
    class demand_report;
    class team_grant;
}

void encode(const demand_report& report, wire::demand_report& out);
void encode(const team_grant& grant, wire::team_grant& out);

/// \return the report, or nothing when the team's name is malformed or the rate is not a finite number from 0 on
std::optional<demand_report> decode(const wire::demand_report& in);

/// \return the grant, or nothing under the same conditions
std::optional<team_grant> decode(const wire::team_grant& in);

} // namespace oriolepick
