/// \file
/// Change tickets: numbered, typed configuration changes. A ticket contains the complete new state of every object that
/// it changes, never a partial update.
#pragma once

#include "core/names.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace oriolepick {

/// Type of a configuration object. The enumerators have the order of the alternatives of object_state.
enum class object_kind { Fleet, Team, Model, Deployment, Service, Target, Alias, Policy, Objective };

/// \return the spelling of the kind in ticket files, for example "deployment"
std::string_view toString(object_kind kind);

/// Identifies one object. Two fleets may use equal names, so the fleet is part of every key.
struct object_key {
    object_kind kind = object_kind::Fleet;
    fleet_name fleet;
    std::string name;

    /// \return "kind fleet/name"
    std::string text() const { return std::string(toString(kind)) + " " + fleet.value() + "/" + name; }

    friend bool operator==(const object_key& left, const object_key& right)
    {
        return left.kind == right.kind && left.fleet == right.fleet && left.name == right.name;
    }
    friend bool operator!=(const object_key& left, const object_key& right) { return !(left == right); }
    friend bool operator<(const object_key& left, const object_key& right)
    {
        return std::tie(left.kind, left.fleet, left.name) < std::tie(right.kind, right.fleet, right.name);
    }
    template <typename State> friend State AbslHashValue(State state, const object_key& key)
    {
        return State::combine(std::move(state), key.kind, key.fleet, key.name);
    }
};

/// Settings of a fleet: its zones and the rate limit of its weight store.
struct fleet_settings {
    std::string title;
    std::vector<availability_zone> zones;
    int weightLoadsPerMinute = 6; ///< limit on the model loads that all orders together start
};

/// Settings of a team of callers. Only digests of its bearer tokens are stored; several valid tokens at a time allow
/// rotation.
struct team_settings {
    std::vector<std::string> tokenDigests; ///< SHA-256 of each valid bearer token, 64 lower-case hex digits
    double requestsPerSecond = 0; ///< summed over all nodes
    double tokensPerSecond = 0; ///< output tokens, summed over all nodes; 0 for no limit
    int concurrentRequests = 0; ///< summed over all nodes; 0 for no limit
    int highestPriority = 9;
};

/// The versions and adapters of a model that may be deployed.
struct model_settings {
    std::vector<model_version> versions;
    std::vector<adapter_name> adapters;
};

/// Priorities that a deployment accepts, from 0 (can wait) to 9 (most urgent).
struct priority_range {
    int lowest = 0;
    int defaultPriority = 5; ///< for requests without a priority
    int highest = 9;
};

/// Settings of a deployment: a model version that a set of targets serves.
struct deployment_settings {
    model_id model;
    model_version version;
    adapter_name adapter; ///< empty for none
    std::vector<target_id> targets;
    std::string resumePolicy; ///< name of a policy in the deployment's fleet
    priority_range priorities;
    double maxUnavailableShare
        = 0.1; ///< largest share of the targets' capacity that orders may make unavailable at a time

    model_ref servedModel() const { return { model, version, adapter }; }
};

/// One HTTP method of a plain service.
struct service_method {
    std::string method; ///< for example "GET"
    bool idempotent = false; ///< whether running a request again has no further effect
    std::chrono::milliseconds timeLimit { 0 };
};

/// Settings of a plain service: HTTP methods that a set of targets serves, without a model.
struct service_settings {
    std::vector<target_id> targets;
    std::vector<service_method> methods;
};

/// Type of the process that a target runs.
enum class target_kind { Engine, Service };

/// Settings of a target: one engine or service process.
struct target_settings {
    std::string address; ///< "ip:port"
    availability_zone zone;
    target_kind kind = target_kind::Engine;
    std::string role = "mixed"; ///< "mixed", "prefill" or "decode"; only for engines
    bool checksFencing = false; ///< whether the target rejects orders with an old fencing number
    bool leaving = false; ///< whether the target is about to be taken out of service; it receives no new requests
    int capacity = 16; ///< largest number of concurrent requests
};

/// Another name for a deployment or service, visible only to callers of the alias's fleet. Exactly one member is set.
struct alias_settings {
    std::optional<deployment_id> deployment;
    std::optional<service_id> service;
};

/// How a node reacts to a stalled stream.
enum class resume_strategy { LatencyFirst, Waiting };

/// Settings of a resume policy: when a stream counts as stalled, and how many further attempts may follow.
struct policy_settings {
    resume_strategy strategy = resume_strategy::LatencyFirst;
    std::chrono::milliseconds minStallThreshold { 250 }; ///< a shorter gap between tokens is never suspected as a stall
    std::chrono::milliseconds maxStallThreshold { 1500 }; ///< a longer gap is always suspected as a stall
    double stallDeviations = 4; ///< a gap is suspected this many deviations above the mean gap
    double retryBudgetRatio = 0.1; ///< retry budget: further attempts per successful request
};

/// Metric that a service-level objective limits.
enum class objective_metric {
    ResumeLatencyMs,
    FirstTokenMs,
    TokenGapMs,
    ExtraTokenShare,
    SuccessShare, ///< complete responses as a share of complete and failed responses
    TicketDelayMs, ///< of the whole fleet
    TruthfulRefusalShare, ///< of the whole fleet
    AtMostOnceShare, ///< of the whole fleet
};

/// \return whether the metric covers the whole fleet instead of one deployment
constexpr bool isFleetMetric(objective_metric metric)
{
    return metric == objective_metric::TicketDelayMs || metric == objective_metric::TruthfulRefusalShare
        || metric == objective_metric::AtMostOnceShare;
}

/// \return whether the goal is a share between 0 and 1; otherwise the goal is a time
constexpr bool isShare(objective_metric metric)
{
    return metric == objective_metric::ExtraTokenShare || metric == objective_metric::SuccessShare
        || metric == objective_metric::TruthfulRefusalShare || metric == objective_metric::AtMostOnceShare;
}

/// A service-level objective. The metric determines whether it applies to a deployment or to a whole fleet.
struct objective_settings {
    std::optional<deployment_id> deployment; ///< empty if and only if the metric covers the whole fleet
    objective_metric metric = objective_metric::ResumeLatencyMs;
    double percentile = 99; ///< only for latency metrics
    double goal = 0; ///< milliseconds or a share, depending on the metric
};

/// The complete state of one object. The index of the alternative equals the value of object_kind.
using object_state = std::variant<fleet_settings, team_settings, model_settings, deployment_settings, service_settings,
    target_settings, alias_settings, policy_settings, objective_settings>;

/// The new state of one object, as part of a ticket.
struct ticket_object {
    object_key key;
    std::optional<object_state> state; ///< empty to delete the object
};

using ticket_number = std::uint64_t; ///< Consecutive numbers from 1; 0 stands for the state before the first ticket.

/// A numbered change. All of its objects take effect atomically.
struct ticket {
    ticket_number number = 0;
    std::string operatorName;
    std::string note;
    std::vector<ticket_object> objects;
};

/// One validation error of a ticket.
struct field_error {
    std::string path; ///< for example "objects[2].state.targets[0]"
    std::string problem; ///< description of the error, including the invalid value

    friend bool operator==(const field_error& left, const field_error& right)
    {
        return left.path == right.path && left.problem == right.problem;
    }
};

/// \return all errors in one message, "path: problem" joined by "; "
std::string toString(const std::vector<field_error>& errors);

/// \return the table key of the ticket's row: "ticket/" followed by the number as 12 digits
std::string ticketRowKey(ticket_number number);

} // namespace oriolepick
