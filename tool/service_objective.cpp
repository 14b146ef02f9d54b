#include "tool/service_objective.h"

#include <array>

namespace oriolepick {

namespace {

    struct metric_row {
        objective_metric metric;
        const char* title;
        double limitMs;
        double share;
    };

    // The goals of the design page; a share of 1 means that no event may be bad.
    constexpr std::array<metric_row, 8> Metrics { {
        { objective_metric::FirstTokenMs, "first token", 780, 0.95 },
        { objective_metric::TokenGapMs, "between tokens", 79, 0.95 },
        { objective_metric::ResumeLatencyMs, "resume", 3000, 0.99 },
        { objective_metric::SuccessShare, "whole responses", 0, 0.999 },
        { objective_metric::TruthfulRefusalShare, "truthful refusals", 0, 1 },
        { objective_metric::TicketDelayMs, "tickets in force", 13'000, 0.99 },
        { objective_metric::AtMostOnceShare, "at most once", 0, 1 },
        { objective_metric::ExtraTokenShare, "extra tokens", 0, 1 },
    } };

    const metric_row& rowOf(objective_metric metric)
    {
        for (const auto& row : Metrics) {
            if (row.metric == metric)
                return row;
        }
        return Metrics.front();
    }

} // namespace

const char* objectiveTitle(objective_metric metric)
{
    return rowOf(metric).title;
}

std::vector<service_objective> declaredObjectives(const std::vector<ticket_object>& objects)
{
    std::vector<service_objective> declared;
    for (const auto& object : objects) {
        const auto* settings = object.state ? std::get_if<objective_settings>(&*object.state) : nullptr;
        if (!settings)
            continue;
        service_objective objective;
        objective.name = object.key.fleet.value() + "/" + object.key.name;
        objective.metric = settings->metric;
        objective.fleet = settings->deployment ? settings->deployment->fleet().value() : object.key.fleet.value();
        objective.deployment = settings->deployment ? settings->deployment->name() : "";
        if (!isShare(settings->metric)) {
            objective.limitMs = settings->goal;
            objective.share = settings->percentile / 100;
        } else
            objective.share
                = settings->metric == objective_metric::ExtraTokenShare ? 1 - settings->goal : settings->goal;
        declared.push_back(std::move(objective));
    }
    return declared;
}

std::vector<service_objective> objectivesFor(objective_metric metric, const std::string& fleet,
    const std::string& deployment, const std::vector<service_objective>& declared)
{
    std::vector<service_objective> found;
    for (const auto& objective : declared) {
        if (objective.metric == metric && objective.covers(fleet, deployment))
            found.push_back(objective);
    }
    // How many extra tokens are acceptable depends on the deployment's resume policy, so there is no built-in goal.
    if (found.empty() && metric != objective_metric::ExtraTokenShare) {
        const auto& row = rowOf(metric);
        found.push_back({ "default", metric, "", "", row.limitMs, row.share });
    }
    return found;
}

} // namespace oriolepick
