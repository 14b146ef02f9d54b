/// \file
/// The state in force: an immutable snapshot that results from applying all tickets up to its number, in order. Nodes
/// publish it by pointer.
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
    std::optional<model_ref> model; ///< empty if no deployment lists the target
    std::string role;
    bool leaving = false;
    std::vector<deployment_id> deployments; ///< the deployments that list the target, sorted
};

/// A deployment that a ticket has deleted. It is kept for the streams that started before.
struct retired_deployment {
    deployment_settings settings; ///< the last state before the deletion
    ticket_number deletingTicket = 0;
};

/// A retired deployment is erased after this many further tickets. At 76,000 tickets a day that is more than a day,
/// longer than any stream. Counting tickets instead of time bounds the state and makes all nodes erase at the same
/// number.
constexpr ticket_number RetiredDeploymentRetentionTickets = 100'000;

/// All objects after a sequence of tickets. Successive states share unchanged objects, and the maps of the kinds that
/// did not change.
class fleet_state {
public:
    template <typename Id, typename Settings>
    using object_map = absl::flat_hash_map<Id, std::shared_ptr<const Settings>>;

    /// The state before the first ticket.
    fleet_state();

    /// Restores a state from the contents of a snapshot.
    fleet_state(ticket_number number, const std::vector<ticket_object>& objects,
        const std::vector<std::pair<deployment_id, retired_deployment>>& retired);

    /// \return the state after \p tickets, which must be valid and numbered consecutively from number() + 1
    std::shared_ptr<const fleet_state> after(const std::vector<ticket>& tickets) const;

    /// \return the number of the last applied ticket, 0 for none
    ticket_number number() const { return m_number; }

    /// Resolves a name for a caller: first among the aliases of the caller's fleet, then among its deployments.
    /// \param caller the caller's fleet
    /// \return the deployment that serves new requests under this name, or nothing
    std::optional<deployment_id> resolveDeployment(const fleet_name& caller, std::string_view name) const;

    /// Resolves a name for a caller: first among the aliases of the caller's fleet, then among its services.
    /// \param caller the caller's fleet
    /// \return the service, or nothing
    std::optional<service_id> resolveService(const fleet_name& caller, std::string_view name) const;

    /// \return the team that has a token with this SHA-256 digest (64 lower-case hex digits), or nothing
    std::optional<team_id> teamByTokenDigest(std::string_view digest) const;

    const fleet_settings* fleet(const fleet_name& id) const;
    const team_settings* team(const team_id& id) const;
    const model_settings* model(const model_id& id) const;
    const deployment_settings* deployment(const deployment_id& id) const;
    const service_settings* service(const service_id& id) const;
    const target_settings* target(const target_id& id) const;
    /// \param name the name of a policy of \p fleet
    const policy_settings* policy(const fleet_name& fleet, std::string_view name) const;

    /// \return the deployment of a stream that started earlier, whether in service or retired; null if it does not
    ///     exist or was erased after its retirement
    const deployment_settings* deploymentForStream(const deployment_id& id) const;

    /// \return what the target \p id should run, or nothing if the target does not exist
    std::optional<desired_target> desired(const target_id& id) const;

    /// \return the declaration of the method, or null if the service does not declare it
    static const service_method* findMethod(const service_settings& service, std::string_view method);

    const object_map<team_id, team_settings>& teams() const { return *m_teams; }
    const object_map<deployment_id, deployment_settings>& deployments() const { return *m_deployments; }
    const object_map<service_id, service_settings>& services() const { return *m_services; }
    const object_map<target_id, target_settings>& targets() const { return *m_targets; }
    const object_map<deployment_id, retired_deployment>& retired() const { return *m_retired; }

    /// \return whether the object exists; a retired deployment does not exist
    bool contains(const object_key& key) const;

    /// \return the object's state, or nothing
    std::optional<object_state> find(const object_key& key) const;

    /// \return all objects, sorted by key
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
