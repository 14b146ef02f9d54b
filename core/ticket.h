/// \file
/// Change tickets: numbered, typed, each with the complete new state of every object that it changes.
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

/// What an object of a ticket describes. The order is that of the alternatives of object_state.
enum class object_kind { Fleet, Team, Model, Deployment, Service, Target, Alias, Policy, Objective };

/// \return the kind's word in tickets, for example "deployment"
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

/// A fleet: its zones and the rate at which its weight store may be used.
struct fleet_settings {
    std::string title;
    std::vector<availability_zone> zones;
    int weightLoadsPerMinute = 6; ///< loads from the weight store that all orders together may start
};

/// A team of callers with its limits. Only digests of its bearer tokens are kept; several allow a rotation.
struct team_settings {
    std::vector<std::string> tokenDigests; ///< SHA-256 of each valid bearer token, 64 lower-case hex digits
    double requestsPerSecond = 0; ///< over all nodes
    double tokensPerSecond = 0; ///< output tokens over all nodes; 0 for no limit
    int concurrentRequests = 0; ///< over all nodes; 0 for no limit
    int highestPriority = 9;
};

/// A model's versions and adapters that may be deployed.
struct model_settings {
    std::vector<model_version> versions;
    std::vector<adapter_name> adapters;
};

/// Priorities that a deployment accepts, from 0 (can wait) to 9 (most urgent).
struct priority_range {
    int lowest = 0;
    int defaultPriority = 5; ///< for requests that state none
    int highest = 9;
};

/// A model in service on targets.
struct deployment_settings {
    model_id model;
    model_version version;
    adapter_name adapter; ///< empty for none
    std::vector<target_id> targets;
    std::string resumePolicy; ///< name of a policy of the deployment's own fleet
    priority_range priorities;
    double maxUnavailableShare
        = 0.1; ///< largest share of the targets' capacity that orders may take out of service at a time

    model_ref servedModel() const { return { model, version, adapter }; }
};

/// One HTTP method of a plain service.
struct service_method {
    std::string method; ///< for example "GET"
    bool idempotent = false; ///< whether a second run has no further effect
    std::chrono::milliseconds timeLimit { 0 };
};

/// A plain service on targets.
struct service_settings {
    std::vector<target_id> targets;
    std::vector<service_method> methods;
};

/// What runs on a target.
enum class target_kind { Engine, Service };

/// One engine or service process.
struct target_settings {
    std::string address; ///< "ip:port"
    availability_zone zone;
    target_kind kind = target_kind::Engine;
    std::string role = "mixed"; ///< "mixed", "prefill" or "decode"; only for engines
    bool checksFencing = false; ///< whether it rejects orders with an old fencing number
    bool leaving = false; ///< gets no new work
    int capacity = 16; ///< requests it runs at once
};

/// Another name for a deployment or service, seen by callers of the alias's fleet only. Exactly one is set.
struct alias_settings {
    std::optional<deployment_id> deployment;
    std::optional<service_id> service;
};

/// How the node reacts to a stalled stream.
enum class resume_strategy { LatencyFirst, Waiting };

/// A named resume policy.
struct policy_settings {
    resume_strategy strategy = resume_strategy::LatencyFirst;
    std::chrono::milliseconds minStallThreshold { 250 }; ///< no suspicion before this gap between tokens
    std::chrono::milliseconds maxStallThreshold { 1500 }; ///< always suspicion after this gap
    double stallDeviations = 4; ///< deviations above the mean gap that raise suspicion
    double retryBudgetRatio = 0.1; ///< further attempts as a share of successful requests
};

/// What an objective measures.
enum class objective_metric {
    ResumeLatencyMs,
    FirstTokenMs,
    TokenGapMs,
    ExtraTokenShare,
    SuccessShare, ///< complete responses among those that were complete or failed
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

/// \return whether the goal is a share from 0 to 1 instead of a time
constexpr bool isShare(objective_metric metric)
{
    return metric == objective_metric::ExtraTokenShare || metric == objective_metric::SuccessShare
        || metric == objective_metric::TruthfulRefusalShare || metric == objective_metric::AtMostOnceShare;
}

/// A service-level objective of a deployment or, by the metric, of a fleet.
struct objective_settings {
    std::optional<deployment_id> deployment; ///< nothing exactly when the metric covers the fleet
    objective_metric metric = objective_metric::ResumeLatencyMs;
    double percentile = 99; ///< for latencies
    double goal = 0; ///< milliseconds or a share, by the metric
};

/// The complete state of one object; the alternative's index is the object_kind.
using object_state = std::variant<fleet_settings, team_settings, model_settings, deployment_settings, service_settings,
    target_settings, alias_settings, policy_settings, objective_settings>;

/// One object of a ticket.
struct ticket_object {
    object_key key;
    std::optional<object_state> state; ///< nothing deletes the object
};

using ticket_number = std::uint64_t; ///< Consecutive from 1; 0 means before the first ticket.

/// A numbered change. All of its objects take effect together.
struct ticket {
    ticket_number number = 0;
    std::string operatorName;
    std::string note;
    std::vector<ticket_object> objects;
};

/// One thing that is wrong with a ticket.
struct field_error {
    std::string path; ///< for example "objects[2].state.targets[0]"
    std::string problem; ///< what is wrong with the value, with the value

    friend bool operator==(const field_error& left, const field_error& right)
    {
        return left.path == right.path && left.problem == right.problem;
    }
};

/// \return all errors in one message, "path: problem" joined by "; "
std::string toString(const std::vector<field_error>& errors);

/// \return the table key of the ticket's row, "ticket/" and 12 digits
std::string ticketRowKey(ticket_number number);

} // namespace oriolepick
