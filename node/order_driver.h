/// \file
/// Holds leases of target groups and gives the orders that bring targets to the state in force, on the control loop.
#pragma once

#include "core/lease_manager.h"
#include "core/order_planner.h"

#include <map>
#include <memory>
#include <string>

namespace oriolepick {

class control_loop;
class engine_client;
class fleet_state;
class node_metrics;
class state_keeper;
class table_service;
class target_directory;
class task_pool;

class order_driver {
public:
    /// \param self this node
    /// \param holder unique to this process
    order_driver(node_id self, std::string holder, table_service& table, engine_client& engines,
        target_directory& targets, const state_keeper& states, control_loop& loop, task_pool& tasks,
        node_metrics& metrics, std::chrono::milliseconds timeout);

    /// Gives no further orders, for a planned stop; its leases lapse. On the control loop.
    void stop() { m_stopped = true; }

    /// Takes the usable nodes, among which the candidates of each group are chosen; on the control loop.
    void setNodes(const std::vector<node_id>& usable) { m_nodes = usable; }

    /// \return the groups whose lease this node holds; on the control loop
    std::vector<std::string> heldGroups(instant now) const;

private:
    struct group {
        deployment_id deployment;
        availability_zone zone;
        std::unique_ptr<lease_manager> lease;
    };

    void tick(instant now);
    bool isCandidate(const std::string& name) const;
    void updateGroups(const fleet_state& state);
    void wakeLease(const std::string& name, instant now);
    void giveOrders(const std::string& name, group& entry, const fleet_state& state, instant now);
    void send(const std::string& name, const target_order& order);
    std::vector<planned_target> plannedTargets(const fleet_state& state, const deployment_id& deployment) const;

    node_id m_self;
    std::string m_holder;
    std::vector<node_id> m_nodes;
    table_service& m_table;
    engine_client& m_engines;
    target_directory& m_targets;
    const state_keeper& m_states;
    control_loop& m_loop;
    task_pool& m_tasks;
    node_metrics& m_metrics;
    std::chrono::milliseconds m_timeout;
    order_planner m_planner;
    std::map<std::string, group> m_groups;
    bool m_stopped = false;
};

} // namespace oriolepick
