#include "core/ticket_validation.h"

#include "core/fleet_state.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace oriolepick {

namespace {

    /// Checks every object of the state that would be in force, so that a deletion cannot leave a dangling reference.
    class state_validator {
    public:
        state_validator(const ticket& change, const fleet_state& after)
            : m_after(after)
        {
            for (std::size_t index = 0; index < change.objects.size(); ++index)
                m_paths.emplace(change.objects[index].key, "objects[" + std::to_string(index) + "]");
        }

        std::vector<field_error> run()
        {
            for (const auto& object : m_after.objects()) {
                const auto listed = m_paths.find(object.key);
                m_currentPath = listed == m_paths.end() ? object.key.text() : listed->second;
                m_currentKey = &object.key;
                if (!m_after.fleet(object.key.fleet))
                    fail("fleet", "fleet '" + object.key.fleet.value() + "' does not exist");
                std::visit([&](const auto& settings) { check(settings); }, *object.state);
            }
            return std::move(m_errors);
        }

    private:
        void fail(const std::string& field, std::string problem)
        {
            m_errors.push_back({ m_currentPath + "." + field, std::move(problem) });
        }

        template <typename Value>
        void requireUnique(absl::flat_hash_map<Value, std::string>& seen, const Value& value, const std::string& field,
            const std::string& what)
        {
            const auto [entry, added] = seen.emplace(value, m_currentKey->text());
            if (!added)
                fail(field, what + " is also used by " + entry->second);
        }

        void checkTargets(const std::vector<target_id>& targets, target_kind kind, const char* wanted)
        {
            absl::flat_hash_set<target_id> seen;
            for (std::size_t index = 0; index < targets.size(); ++index) {
                const auto field = "state.targets[" + std::to_string(index) + "]";
                const auto* target = m_after.target(targets[index]);
                if (!target)
                    fail(field, "target " + targets[index].text() + " does not exist");
                else if (target->kind != kind)
                    fail(field, "target " + targets[index].text() + " is not of kind " + wanted);
                if (!seen.insert(targets[index]).second)
                    fail(field, "target " + targets[index].text() + " is listed twice");
            }
        }

        void check(const fleet_settings&)
        {
            if (m_currentKey->fleet.value() != m_currentKey->name)
                fail("name",
                    "'" + m_currentKey->name + "' differs from the fleet's name '" + m_currentKey->fleet.value() + "'");
        }

        void check(const team_settings& team)
        {
            for (std::size_t index = 0; index < team.tokenDigests.size(); ++index)
                requireUnique(m_digests, team.tokenDigests[index], "state.token_sha256[" + std::to_string(index) + "]",
                    "the token");
        }

        void check(const model_settings&) { }

        void check(const deployment_settings& deployment)
        {
            if (const auto* model = m_after.model(deployment.model)) {
                const auto& versions = model->versions;
                if (std::find(versions.begin(), versions.end(), deployment.version) == versions.end())
                    fail("state.version",
                        "model " + deployment.model.text() + " has no version '" + deployment.version.value() + "'");
                const auto& adapters = model->adapters;
                if (!deployment.adapter.empty()
                    && std::find(adapters.begin(), adapters.end(), deployment.adapter) == adapters.end())
                    fail("state.adapter",
                        "model " + deployment.model.text() + " has no adapter '" + deployment.adapter.value() + "'");
            } else
                fail("state.model", "model " + deployment.model.text() + " does not exist");
            checkTargets(deployment.targets, target_kind::Engine, "engine");
            for (const auto& target : deployment.targets)
                checkSharedTarget(target, deployment.servedModel());
            if (!m_after.policy(m_currentKey->fleet, deployment.resumePolicy))
                fail("state.resume_policy", "policy '" + deployment.resumePolicy + "' does not exist in this fleet");
            const auto& range = deployment.priorities;
            if (range.lowest > range.defaultPriority || range.defaultPriority > range.highest)
                fail("state.priorities", "must satisfy lowest <= usual <= highest");
        }

        /// Two deployments may share a target only if it serves both with the same model, version and adapter.
        void checkSharedTarget(const target_id& target, const model_ref& servedModel)
        {
            const auto [entry, added] = m_servedBy.emplace(target, std::pair(servedModel, m_currentKey->text()));
            if (!added && entry->second.first != servedModel)
                fail("state.targets",
                    "target " + target.text() + " already runs another model, version or adapter for "
                        + entry->second.second);
        }

        void check(const service_settings& service)
        {
            checkTargets(service.targets, target_kind::Service, "service");
            absl::flat_hash_set<std::string> seen;
            for (std::size_t index = 0; index < service.methods.size(); ++index) {
                if (!seen.insert(service.methods[index].method).second)
                    fail("state.methods[" + std::to_string(index) + "].method",
                        "method " + service.methods[index].method + " is listed twice");
            }
        }

        void check(const target_settings& target)
        {
            if (const auto* fleet = m_after.fleet(m_currentKey->fleet)) {
                if (std::find(fleet->zones.begin(), fleet->zones.end(), target.zone) == fleet->zones.end())
                    fail("state.zone",
                        "'" + target.zone.value() + "' is not a zone of fleet '" + m_currentKey->fleet.value() + "'");
            }
            requireUnique(m_addresses, target.address, "state.address", "address " + target.address);
        }

        void check(const alias_settings& alias)
        {
            if (alias.deployment.has_value() == alias.service.has_value())
                return fail("state", "must name either a deployment or a service");
            if (alias.deployment) {
                if (!m_after.deployment(*alias.deployment))
                    fail("state.deployment", "deployment " + alias.deployment->text() + " does not exist");
                checkNoSelfReference(alias.deployment->fleet(), alias.deployment->name(), "state.deployment");
            } else {
                if (!m_after.service(*alias.service))
                    fail("state.service", "service " + alias.service->text() + " does not exist");
                checkNoSelfReference(alias.service->fleet(), alias.service->name(), "state.service");
            }
        }

        void checkNoSelfReference(const fleet_name& fleet, const std::string& name, const std::string& field)
        {
            if (fleet == m_currentKey->fleet && name == m_currentKey->name)
                fail(field, "the alias has the name of the object it stands for");
        }

        void check(const policy_settings& policy)
        {
            if (policy.minStallThreshold > policy.maxStallThreshold)
                fail("state.shortest_gap_ms", "is longer than longest_gap_ms");
        }

        void check(const objective_settings& objective)
        {
            if (isFleetMetric(objective.metric)) {
                if (objective.deployment)
                    fail("state.deployment", "does not apply to this metric, which covers the whole fleet");
            } else if (!objective.deployment)
                fail("state.deployment", "is missing");
            else if (!m_after.deployment(*objective.deployment))
                fail("state.deployment", "deployment " + objective.deployment->text() + " does not exist");
            if (isShare(objective.metric) && objective.goal > 1)
                fail("state.goal", "a share is at most 1");
        }

        const fleet_state& m_after;
        absl::flat_hash_map<object_key, std::string> m_paths;
        std::string m_currentPath;
        const object_key* m_currentKey = nullptr;
        absl::flat_hash_map<std::string, std::string> m_digests;
        absl::flat_hash_map<std::string, std::string> m_addresses;
        absl::flat_hash_map<target_id, std::pair<model_ref, std::string>> m_servedBy;
        std::vector<field_error> m_errors;
    };

} // namespace

std::vector<field_error> validate(const ticket& change, const fleet_state& before)
{
    std::vector<field_error> errors;
    absl::flat_hash_map<object_key, std::size_t> first;
    for (std::size_t index = 0; index < change.objects.size(); ++index) {
        const auto& object = change.objects[index];
        const auto path = "objects[" + std::to_string(index) + "]";
        const auto [entry, added] = first.emplace(object.key, index);
        if (!added)
            errors.push_back(
                { path, object.key.text() + " is already objects[" + std::to_string(entry->second) + "]" });
        if (!object.state && !before.contains(object.key))
            errors.push_back({ path, object.key.text() + " does not exist and cannot be deleted" });
    }
    auto numbered = change;
    numbered.number = before.number() + 1; // the caller checks the number; the check of the objects does not need it
    const auto after = before.after({ numbered });
    auto found = state_validator(change, *after).run();
    errors.insert(errors.end(), found.begin(), found.end());
    return errors;
}

} // namespace oriolepick
