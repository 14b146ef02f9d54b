/// \file
/// The JSON fields of each kind of object. Each function hands every field with its name and rule to a visitor:
/// field_reader, field_writer or field_schema.
#pragma once

#include "config/field_rule.h"
#include "core/ticket.h"

#include <array>
#include <string_view>
#include <utility>

namespace oriolepick {

/// The words of an enumeration in JSON.
template <typename Enum> struct enum_words;

template <> struct enum_words<target_kind> {
    static constexpr std::array<std::pair<target_kind, std::string_view>, 2> Words {
        { { target_kind::Engine, "engine" }, { target_kind::Service, "service" } }
    };
};
template <> struct enum_words<resume_strategy> {
    static constexpr std::array<std::pair<resume_strategy, std::string_view>, 2> Words {
        { { resume_strategy::LatencyFirst, "latency_first" }, { resume_strategy::Waiting, "waiting" } }
    };
};
template <> struct enum_words<objective_metric> {
    static constexpr std::array<std::pair<objective_metric, std::string_view>, 8> Words {
        { { objective_metric::ResumeLatencyMs, "resume_latency_ms" },
            { objective_metric::FirstTokenMs, "first_token_ms" }, { objective_metric::TokenGapMs, "token_gap_ms" },
            { objective_metric::ExtraTokenShare, "extra_token_share" },
            { objective_metric::SuccessShare, "success_share" }, { objective_metric::TicketDelayMs, "ticket_delay_ms" },
            { objective_metric::TruthfulRefusalShare, "truthful_refusal_share" },
            { objective_metric::AtMostOnceShare, "at_most_once_share" } }
    };
};

constexpr field_rule RequiredName { presence::Required, text_form::Name };
constexpr field_rule RequiredReference { presence::Required };
constexpr field_rule OptionalReference {};
constexpr field_rule Flag {};
constexpr double MaxTimeMs = 86'400'000; ///< one day

constexpr field_rule numberRule(double least, double most, fraction_rule fractions = fraction_rule::Refused)
{
    return { presence::Optional, text_form::Any, least, most, 0, fractions };
}

constexpr field_rule listRule(std::size_t fewest, text_form form = text_form::Any)
{
    return { fewest ? presence::Required : presence::Optional, form, 0, 0, fewest };
}

template <typename Visitor> void describe(Visitor& visit, fleet_settings& fleet)
{
    visit("title", fleet.title, field_rule {});
    visit("zones", fleet.zones, listRule(1, text_form::Name));
    visit("weight_loads_per_minute", fleet.weightLoadsPerMinute, numberRule(1, 100'000));
}

template <typename Visitor> void describe(Visitor& visit, team_settings& team)
{
    visit("token_sha256", team.tokenDigests, listRule(1, text_form::Digest));
    visit("requests_per_second", team.requestsPerSecond, { presence::Required, text_form::Any, 0, 1e6 });
    visit("tokens_per_second", team.tokensPerSecond, numberRule(0, 1e9));
    visit("concurrent_requests", team.concurrentRequests, numberRule(0, 1e6));
    visit("highest_priority", team.highestPriority, numberRule(0, 9));
}

template <typename Visitor> void describe(Visitor& visit, model_settings& model)
{
    visit("versions", model.versions, listRule(1, text_form::Name));
    visit("adapters", model.adapters, listRule(0, text_form::Name));
}

template <typename Visitor> void describe(Visitor& visit, priority_range& range)
{
    visit("lowest", range.lowest, numberRule(0, 9));
    visit("usual", range.defaultPriority, numberRule(0, 9));
    visit("highest", range.highest, numberRule(0, 9));
}

template <typename Visitor> void describe(Visitor& visit, deployment_settings& deployment)
{
    visit("model", deployment.model, RequiredReference);
    visit("version", deployment.version, RequiredName);
    visit("adapter", deployment.adapter, field_rule { presence::Optional, text_form::OptionalName });
    visit("targets", deployment.targets, listRule(1));
    visit("resume_policy", deployment.resumePolicy, RequiredName);
    visit("priorities", deployment.priorities, field_rule {});
    visit("change_share", deployment.maxUnavailableShare, numberRule(0.001, 1));
}

template <typename Visitor> void describe(Visitor& visit, service_method& method)
{
    visit("method", method.method, field_rule { presence::Required, text_form::Method });
    visit("repeatable", method.idempotent, field_rule { presence::Required });
    visit("time_limit_ms", method.timeLimit,
        { presence::Required, text_form::Any, 1, MaxTimeMs, 0, fraction_rule::RoundedDown });
}

template <typename Visitor> void describe(Visitor& visit, service_settings& service)
{
    visit("targets", service.targets, listRule(1));
    visit("methods", service.methods, listRule(1));
}

template <typename Visitor> void describe(Visitor& visit, target_settings& target)
{
    visit("address", target.address, field_rule { presence::Required, text_form::Address });
    visit("zone", target.zone, RequiredName);
    visit("kind", target.kind, field_rule { presence::Required });
    visit("role", target.role, field_rule { presence::Optional, text_form::Role });
    visit("checks_fencing", target.checksFencing, Flag);
    visit("leaving", target.leaving, Flag);
    visit("capacity", target.capacity, numberRule(1, 100'000));
}

template <typename Visitor> void describe(Visitor& visit, alias_settings& alias)
{
    visit("deployment", alias.deployment, OptionalReference);
    visit("service", alias.service, OptionalReference);
}

template <typename Visitor> void describe(Visitor& visit, policy_settings& policy)
{
    visit("strategy", policy.strategy, field_rule { presence::Required });
    // A longer gap does not take a target that only pauses for a stalled one.
    visit("shortest_gap_ms", policy.minStallThreshold, numberRule(1, MaxTimeMs, fraction_rule::RoundedUp));
    visit("longest_gap_ms", policy.maxStallThreshold, numberRule(1, MaxTimeMs, fraction_rule::RoundedUp));
    visit("deviations", policy.stallDeviations, numberRule(0, 100));
    visit("retry_share", policy.retryBudgetRatio, numberRule(0, 1));
}

template <typename Visitor> void describe(Visitor& visit, objective_settings& objective)
{
    visit("deployment", objective.deployment, OptionalReference);
    visit("metric", objective.metric, field_rule { presence::Required });
    visit("percentile", objective.percentile, numberRule(0, 100));
    visit("goal", objective.goal, { presence::Required, text_form::Any, 0, 1e9 });
}

} // namespace oriolepick
