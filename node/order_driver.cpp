#include "node/order_driver.h"

#include "core/fleet_state.h"
#include "core/stable_hash.h"
#include "node/control_loop.h"
#include "node/node_log.h"
#include "node/node_metrics.h"
#include "node/state_keeper.h"
#include "node/target_directory.h"
#include "node/task_pool.h"
#include "ports/table_service.h"
#include "targets/engine_client.h"

#include <algorithm>
#include <set>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds TickPeriod { 1000 };
    // All 370 nodes watching all 78 lease rows would read the table about 9,600 times a second. Three candidates a
    // group survive two losses at once, and membership names new ones within seconds.
    constexpr std::ptrdiff_t CandidatesPerGroup = 3;

    engine_order engineOrder(const target_order& order)
    {
        engine_order converted;
        converted.kind = order.kind;
        converted.model = order.model;
        converted.role = order.role;
        converted.fencing = order.fencing;
        converted.ticket = order.ticket;
        return converted;
    }

} // namespace

order_driver::order_driver(node_id self, std::string holder, table_service& table, engine_client& engines,
    target_directory& targets, const state_keeper& states, control_loop& loop, task_pool& tasks, node_metrics& metrics,
    std::chrono::milliseconds timeout)
    : m_self(std::move(self))
    , m_holder(std::move(holder))
    , m_table(table)
    , m_engines(engines)
    , m_targets(targets)
    , m_states(states)
    , m_loop(loop)
    , m_tasks(tasks)
    , m_metrics(metrics)
    , m_timeout(timeout)
    , m_planner(order_planner_settings {})
{
    loop.every(TickPeriod, [this](instant now) { tick(now); });
}

std::vector<std::string> order_driver::heldGroups(instant now) const
{
    std::vector<std::string> held;
    for (const auto& [name, entry] : m_groups) {
        if (entry.lease->fencing(now))
            held.push_back(name);
    }
    return held;
}

void order_driver::tick(instant now)
{
    if (m_stopped)
        return;
    const auto state = m_states.current();
    updateGroups(*state);
    double loads = 0;
    for (auto& [name, entry] : m_groups) {
        if (!entry.lease->fencing(now))
            continue;
        // The weight store's rate is divided over all groups of the fleet, so that their holders together keep it.
        if (const auto* fleet = state->fleet(entry.deployment.fleet()))
            loads += static_cast<double>(fleet->weightLoadsPerMinute) / static_cast<double>(m_groups.size());
    }
    m_planner.setLoadsPerMinute(loads);
    for (auto& [name, entry] : m_groups) {
        if (isCandidate(name))
            wakeLease(name, now);
        giveOrders(name, entry, *state, now);
    }
}

bool order_driver::isCandidate(const std::string& name) const
{
    const auto weight = [&](const node_id& node) { return stableHash(node.value(), stableHash(name)); };
    const auto before = std::count_if(
        m_nodes.begin(), m_nodes.end(), [&](const node_id& node) { return weight(node) > weight(m_self); });
    return before < CandidatesPerGroup;
}

void order_driver::updateGroups(const fleet_state& state)
{
    std::set<std::string> wanted;
    for (const auto& [deployment, settings] : state.deployments()) {
        for (const auto& target : settings->targets) {
            const auto* known = state.target(target);
            if (!known)
                continue;
            const auto name = deployment.text() + "/" + known->zone.value();
            wanted.insert(name);
            if (m_groups.count(name))
                continue;
            m_groups[name]
                = { deployment, known->zone, std::make_unique<lease_manager>(name, m_holder, lease_settings {}) };
        }
    }
    for (auto entry = m_groups.begin(); entry != m_groups.end();)
        entry = wanted.count(entry->first) ? std::next(entry) : m_groups.erase(entry);
}

void order_driver::wakeLease(const std::string& name, instant now)
{
    const auto action = m_groups.at(name).lease->wake(now);
    if (!action)
        return;
    m_tasks.submit([this, name, action = *action] {
        if (const auto* read = std::get_if<lease_manager::read_row>(&action)) {
            const auto row = m_table.read(read->key, m_timeout);
            const auto epoch = m_table.epoch();
            m_loop.post([this, name, row, epoch](instant later) {
                const auto found = m_groups.find(name);
                if (found != m_groups.end())
                    found->second.lease->rowRead(later, row, epoch);
            });
            return;
        }
        const auto outcome = m_table.commit(std::get<lease_manager::commit_rows>(action).transaction, m_timeout);
        m_loop.post([this, name, outcome](instant later) {
            const auto found = m_groups.find(name);
            if (found == m_groups.end())
                return;
            const bool before = found->second.lease->fencing(later).has_value();
            found->second.lease->committed(later, outcome);
            if (!before && found->second.lease->fencing(later))
                logInfo("lease",
                    { { "group", name }, { "to", "held" },
                        { "fencing", std::to_string(*found->second.lease->fencing(later)) } });
        });
    });
}

std::vector<planned_target> order_driver::plannedTargets(
    const fleet_state& state, const deployment_id& deployment) const
{
    std::vector<planned_target> planned;
    for (const auto& target : state.deployment(deployment)->targets) {
        const auto* settings = state.target(target);
        const auto desired = state.desired(target);
        if (!settings || !desired || settings->kind != target_kind::Engine)
            continue;
        planned_target entry;
        entry.target = target;
        entry.zone = settings->zone;
        entry.capacity = settings->capacity;
        entry.wanted = desired->model;
        entry.wantedRole = desired->role;
        entry.leaving = desired->leaving || m_targets.isListedAsLeaving(target);
        if (const auto observed = m_targets.observed(target)) {
            entry.reachable = true;
            entry.draining = observed->draining;
            entry.runningRequests = static_cast<int>(observed->attempts);
            entry.loading = observed->loading.has_value();
            entry.loaded = observed->loaded;
            entry.role = observed->role;
        }
        planned.push_back(std::move(entry));
    }
    return planned;
}

void order_driver::giveOrders(const std::string& name, group& entry, const fleet_state& state, instant now)
{
    const auto fencing = entry.lease->fencing(now);
    if (!fencing)
        return;
    const auto orders = m_planner.plan(now, plannedTargets(state, entry.deployment), entry.zone,
        state.deployment(entry.deployment)->maxUnavailableShare, { *fencing, state.number() });
    for (const auto& order : orders)
        send(name, order);
}

void order_driver::send(const std::string& name, const target_order& order)
{
    const auto address = m_targets.addressOf(order.target);
    if (!address)
        return;
    logInfo("order",
        { { "target", order.target.text() }, { "order", toString(order.kind) },
            { "fencing", std::to_string(order.fencing) }, { "ticket", std::to_string(order.ticket) } });
    m_tasks.submit([this, name, order, address = *address] {
        const auto outcome = m_engines.giveOrder(address, engineOrder(order), m_timeout);
        m_metrics.add(counter_metric::StateChanges,
            { { "part", "order" },
                { "to", outcome ? toString(order.kind) : std::string(errorResponseFor(outcome.error().kind).code) } });
    });
}

} // namespace oriolepick
