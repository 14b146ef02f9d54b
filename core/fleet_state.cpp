#include "core/fleet_state.h"

#include <algorithm>
#include <cstdlib>
#include <type_traits>

namespace oriolepick {

namespace {

    template <typename Id> Id idOf(const object_key& key)
    {
        if constexpr (std::is_same_v<Id, fleet_name>)
            return key.fleet;
        else
            return Id(key.fleet, key.name);
    }

    object_key keyOf(object_kind kind, const fleet_name& id)
    {
        return { kind, id, id.value() };
    }

    template <typename Tag> object_key keyOf(object_kind kind, const qualified_name<Tag>& id)
    {
        return { kind, id.fleet(), id.name() };
    }

    template <typename Map, typename Id>
    const typename Map::mapped_type::element_type* findIn(const Map& map, const Id& id)
    {
        const auto found = map.find(id);
        return found == map.end() ? nullptr : found->second.get();
    }

    constexpr int KindCount = static_cast<int>(object_kind::Objective) + 1;

} // namespace

template <typename Self, typename Function> void fleet_state::withMap(Self& self, object_kind kind, Function&& function)
{
    switch (kind) {
    case object_kind::Fleet:
        return function(self.m_fleets);
    case object_kind::Team:
        return function(self.m_teams);
    case object_kind::Model:
        return function(self.m_models);
    case object_kind::Deployment:
        return function(self.m_deployments);
    case object_kind::Service:
        return function(self.m_services);
    case object_kind::Target:
        return function(self.m_targets);
    case object_kind::Alias:
        return function(self.m_aliases);
    case object_kind::Policy:
        return function(self.m_policies);
    case object_kind::Objective:
        return function(self.m_objectives);
    }
    std::abort();
}

fleet_state::fleet_state() = default;

fleet_state::fleet_state(ticket_number number, const std::vector<ticket_object>& objects,
    const std::vector<std::pair<deployment_id, retired_deployment>>& retired)
    : m_number(number)
{
    for (const auto& object : objects)
        put(object);
    for (const auto& [id, entry] : retired)
        m_retired.edit().insert_or_assign(id, std::make_shared<const retired_deployment>(entry));
    indexTeams();
    indexDeployments();
}

std::shared_ptr<const fleet_state> fleet_state::after(const std::vector<ticket>& tickets) const
{
    auto next = std::make_shared<fleet_state>(*this);
    bool teamsChanged = false;
    bool deploymentsChanged = false;
    for (const auto& change : tickets) {
        next->apply(change);
        for (const auto& object : change.objects) {
            teamsChanged = teamsChanged || object.key.kind == object_kind::Team;
            deploymentsChanged = deploymentsChanged || object.key.kind == object_kind::Deployment;
        }
    }
    next->eraseExpiredRetired();
    if (teamsChanged)
        next->indexTeams();
    if (deploymentsChanged)
        next->indexDeployments();
    return next;
}

void fleet_state::put(const ticket_object& object)
{
    withMap(*this, object.key.kind, [&](auto& shared) {
        using map_type = typename std::decay_t<decltype(shared)>::map_type;
        auto& map = shared.edit();
        using settings_type = std::remove_const_t<typename map_type::mapped_type::element_type>;
        auto id = idOf<typename map_type::key_type>(object.key);
        if (object.state)
            map.insert_or_assign(
                std::move(id), std::make_shared<const settings_type>(std::get<settings_type>(*object.state)));
        else
            map.erase(id);
    });
}

void fleet_state::apply(const ticket& change)
{
    if (change.number != m_number + 1)
        std::abort(); // the caller checks the order; folding out of order would put a wrong state in force
    m_number = change.number;
    for (const auto& object : change.objects) {
        if (object.key.kind == object_kind::Deployment) {
            const deployment_id id(object.key.fleet, object.key.name);
            const auto* last = deployment(id);
            if (object.state)
                m_retired.edit().erase(id);
            else if (last)
                m_retired.edit().insert_or_assign(
                    id, std::make_shared<const retired_deployment>(retired_deployment { *last, m_number }));
        }
        put(object);
    }
}

void fleet_state::eraseExpiredRetired()
{
    const auto expired = [&](const auto& entry) {
        return entry.second->deletingTicket + RetiredDeploymentRetentionTickets <= m_number;
    };
    if (std::any_of(m_retired->begin(), m_retired->end(), expired))
        absl::erase_if(m_retired.edit(), expired);
}

void fleet_state::indexTeams()
{
    auto& index = m_teamByDigest.edit();
    index.clear();
    for (const auto& [id, team] : *m_teams) {
        for (const auto& digest : team->tokenDigests)
            index.insert_or_assign(digest, id);
    }
}

void fleet_state::indexDeployments()
{
    auto& index = m_deploymentsByTarget.edit();
    index.clear();
    for (const auto& [id, deployment] : *m_deployments) {
        for (const auto& target : deployment->targets)
            index[target].push_back(id);
    }
    for (auto& entry : index)
        std::sort(entry.second.begin(), entry.second.end());
}

std::optional<deployment_id> fleet_state::resolveDeployment(const fleet_name& caller, std::string_view name) const
{
    if (const auto* alias = findIn(*m_aliases, alias_id(caller, std::string(name))); alias && alias->deployment)
        return m_deployments->contains(*alias->deployment) ? alias->deployment : std::nullopt;
    deployment_id own(caller, std::string(name));
    if (m_deployments->contains(own))
        return own;
    return std::nullopt;
}

std::optional<service_id> fleet_state::resolveService(const fleet_name& caller, std::string_view name) const
{
    if (const auto* alias = findIn(*m_aliases, alias_id(caller, std::string(name))); alias && alias->service)
        return m_services->contains(*alias->service) ? alias->service : std::nullopt;
    service_id own(caller, std::string(name));
    if (m_services->contains(own))
        return own;
    return std::nullopt;
}

std::optional<team_id> fleet_state::teamByTokenDigest(std::string_view digest) const
{
    const auto found = m_teamByDigest->find(std::string(digest));
    return found == m_teamByDigest->end() ? std::nullopt : std::optional(found->second);
}

const fleet_settings* fleet_state::fleet(const fleet_name& id) const
{
    return findIn(*m_fleets, id);
}

const team_settings* fleet_state::team(const team_id& id) const
{
    return findIn(*m_teams, id);
}

const model_settings* fleet_state::model(const model_id& id) const
{
    return findIn(*m_models, id);
}

const deployment_settings* fleet_state::deployment(const deployment_id& id) const
{
    return findIn(*m_deployments, id);
}

const service_settings* fleet_state::service(const service_id& id) const
{
    return findIn(*m_services, id);
}

const target_settings* fleet_state::target(const target_id& id) const
{
    return findIn(*m_targets, id);
}

const policy_settings* fleet_state::policy(const fleet_name& fleet, std::string_view name) const
{
    return findIn(*m_policies, policy_id(fleet, std::string(name)));
}

const deployment_settings* fleet_state::deploymentForStream(const deployment_id& id) const
{
    if (const auto* inService = deployment(id))
        return inService;
    const auto* entry = findIn(*m_retired, id);
    return entry ? &entry->settings : nullptr;
}

std::optional<desired_target> fleet_state::desired(const target_id& id) const
{
    const auto* settings = target(id);
    if (!settings)
        return std::nullopt;
    desired_target wanted;
    wanted.role = settings->role;
    wanted.leaving = settings->leaving;
    if (const auto found = m_deploymentsByTarget->find(id); found != m_deploymentsByTarget->end()) {
        wanted.deployments = found->second;
        wanted.model = deployment(found->second.front())->servedModel();
    }
    return wanted;
}

const service_method* fleet_state::findMethod(const service_settings& service, std::string_view method)
{
    for (const auto& declared : service.methods) {
        if (declared.method == method)
            return &declared;
    }
    return nullptr;
}

bool fleet_state::contains(const object_key& key) const
{
    bool found = false;
    withMap(*this, key.kind, [&](const auto& map) {
        found = map->contains(idOf<typename std::decay_t<decltype(map)>::map_type::key_type>(key));
    });
    return found;
}

std::optional<object_state> fleet_state::find(const object_key& key) const
{
    std::optional<object_state> state;
    withMap(*this, key.kind, [&](const auto& map) {
        if (const auto* settings = findIn(*map, idOf<typename std::decay_t<decltype(map)>::map_type::key_type>(key)))
            state = *settings;
    });
    return state;
}

std::vector<ticket_object> fleet_state::objects() const
{
    std::vector<ticket_object> all;
    for (int index = 0; index < KindCount; ++index) {
        const auto kind = static_cast<object_kind>(index);
        withMap(*this, kind, [&](const auto& map) {
            for (const auto& [id, settings] : *map)
                all.push_back({ keyOf(kind, id), *settings });
        });
    }
    std::sort(all.begin(), all.end(), [](const auto& left, const auto& right) { return left.key < right.key; });
    return all;
}

} // namespace oriolepick
