/// \file
/// Service-level objectives as shares of good events, from tickets or built in.
#pragma once

#include "core/ticket.h"

#include <string>
#include <vector>

namespace oriolepick {

/// One objective.
struct service_objective {
    std::string name; ///< "fleet/name" of the ticket object, or "default"
    objective_metric metric = objective_metric::FirstTokenMs;
    std::string fleet; ///< empty for every fleet without an own objective
    std::string deployment; ///< empty for all of the fleet
    double limitMs = 0; ///< of latencies
    double share = 1; ///< of events that must be good

    bool covers(const std::string& ofFleet, const std::string& ofDeployment) const
    {
        return (fleet.empty() || fleet == ofFleet) && (deployment.empty() || deployment == ofDeployment);
    }
};

/// \return the metric's name in reports, for example "first token"
const char* objectiveTitle(objective_metric metric);

/// \return the objectives that the objects declare
std::vector<service_objective> declaredObjectives(const std::vector<ticket_object>& objects);

/// \return the declared objectives that cover the deployment, or the built-in one where there is none; nothing for
///     ExtraTokenShare without a declared one
std::vector<service_objective> objectivesFor(objective_metric metric, const std::string& fleet,
    const std::string& deployment, const std::vector<service_objective>& declared);

} // namespace oriolepick
