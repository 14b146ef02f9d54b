/// \file
/// The state in force: an immutable snapshot, the fold of all tickets up to its number. Nodes publish it by pointer.
#pragma once

#include "core/copy_on_write_map.h"
#include "core/ticket.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace oriolepick {

/// What a target should run according to the state in force.
struct desired_target {
    std::optional<model_ref> model; ///< nothing when no deployment lists the target
    std::string role;
    bool leaving = false;
    std::vector<deployment_id> deployments; ///< the deployments that list it, in order
};

/// A deployment that a ticket deleted. Streams that started earlier still resolve it.
struct retired_deployment {
    deployment_settings settings; ///< the last state before the deletion
    ticket_number deletingTicket = 0;
};

/// A retired deployment is forgotten after this many further tickets: more than a day at 76,000 tickets a day, longer
/// than any stream runs. It bounds the state without a clock, so that all nodes forget at the same number.
constexpr ticket_number RetiredDeploymentRetentionTickets = 100'000;

/// The fold of tickets. Successive states share the objects, and the maps of the kinds that did not change.
class fleet_state {
public:
    template <typename Id, typename Settings>
    using object_map = absl::flat_hash_map<Id, std::shared_ptr<const Settings>>;

    /// The state before the first ticket.
    fleet_state();

    /// Restores a state from its objects, as a snapshot holds them.
    fleet_state(ticket_number number, const std::vector<ticket_object>& objects,
        const std::vector<std::pair<deployment_id, retired_deployment>>& retired);

    /// \return the state after \p tickets, which must continue this state's number one by one and be valid
    std::shared_ptr<const fleet_state> after(const std::vector<ticket>& tickets) const;

    /// \return the number of the last ticket folded in, 0 for none
    ticket_number number() const { return m_number; }

    /// Resolves a name in a caller's fleet: its aliases first, then its deployments.
    /// \return the deployment that serves new requests under this name, or nothing
    std::optional<deployment_id> resolveDeployment(const fleet_name& caller, std::string_view name) const;

    /// Resolves a name in a caller's fleet: its aliases first, then its services.
    std::optional<service_id> resolveService(const fleet_name& caller, std::string_view name) const;

    /// \return the team that presents a token with this SHA-256 digest (64 lower-case hex digits), or nothing
    std::optional<team_id> teamByTokenDigest(std::string_view digest) const;

    const fleet_settings* fleet(const fleet_name& id) const;
    const team_settings* team(const team_id& id) const;
    const model_settings* model(const model_id& id) const;
    const deployment_settings* deployment(const deployment_id& id) const;
    const service_settings* service(const service_id& id) const;
    const target_settings* target(const target_id& id) const;
    /// \param name a policy of \p fleet
    const policy_settings* policy(const fleet_name& fleet, std::string_view name) const;

    /// Finds the deployment of a stream that started earlier: in service, or retired and not yet forgotten.
    const deployment_settings* deploymentForStream(const deployment_id& id) const;

    /// \return what \p id should run; nothing when the target is unknown
    std::optional<desired_target> desired(const target_id& id) const;

    /// \return the method's declaration, or nothing when the service does not declare it
    static const service_method* findMethod(const service_settings& service, std::string_view method);

    const object_map<team_id, team_settings>& teams() const { return *m_teams; }
    const object_map<deployment_id, deployment_settings>& deployments() const { return *m_deployments; }
    const object_map<service_id, service_settings>& services() const { return *m_services; }
    const object_map<target_id, target_settings>& targets() const { return *m_targets; }
    const object_map<deployment_id, retired_deployment>& retired() const { return *m_retired; }

    /// \return whether the object exists (a retired deployment does not)
    bool contains(const object_key& key) const;

    /// \return the object's state, or nothing
    std::optional<object_state> find(const object_key& key) const;

    /// \return all objects in the order of their keys
    std::vector<ticket_object> objects() const;

private:
    using alias_id = qualified_name<struct alias_tag>;
    using policy_id = qualified_name<struct policy_tag>;
    using objective_id = qualified_name<struct objective_tag>;

    template <typename Self, typename Function> static void withMap(Self& self, object_kind kind, Function&& function);
    void put(const ticket_object& object);
    void apply(const ticket& change);
    void eraseExpiredRetired();
    void indexTeams();
    void indexDeployments();

    ticket_number m_number = 0;
    copy_on_write_map<absl::flat_hash_map<fleet_name, std::shared_ptr<const fleet_settings>>> m_fleets;
    copy_on_write_map<object_map<team_id, team_settings>> m_teams;
    copy_on_write_map<object_map<model_id, model_settings>> m_models;
    copy_on_write_map<object_map<deployment_id, deployment_settings>> m_deployments;
    copy_on_write_map<object_map<service_id, service_settings>> m_services;
    copy_on_write_map<object_map<target_id, target_settings>> m_targets;
    copy_on_write_map<object_map<alias_id, alias_settings>> m_aliases;
    copy_on_write_map<object_map<policy_id, policy_settings>> m_policies;
    copy_on_write_map<object_map<objective_id, objective_settings>> m_objectives;
    copy_on_write_map<object_map<deployment_id, retired_deployment>> m_retired;
    copy_on_write_map<absl::flat_hash_map<std::string, team_id>> m_teamByDigest;
    copy_on_write_map<absl::flat_hash_map<target_id, std::vector<deployment_id>>> m_deploymentsByTarget;
};

} // namespace oriolepick
