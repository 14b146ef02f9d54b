/// \file
/// Runs core's ticket distribution on the control loop: table and peers in, the state in force out.
#pragma once

#include "core/ticket_distributor.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

class control_loop;
class fleet_state;
class node_metrics;
class peer_hub;
class state_keeper;
class task_pool;
class ticket_store;
struct node_status;

class ticket_driver {
public:
    ticket_driver(ticket_store& store, state_keeper& states, node_status& status, peer_hub& peers, control_loop& loop,
        task_pool& tasks, node_metrics& metrics, const ticket_distributor_settings& settings, std::uint64_t seed);

    /// Takes the usable nodes; on the control loop.
    void setPeers(const std::vector<node_id>& usable);

private:
    void execute(const ticket_distributor::actions& actions, instant now);
    void run(const ticket_distributor::announce& action);
    void run(const ticket_distributor::fetch& action);
    void run(const ticket_distributor::send_batch& action);
    void run(const ticket_distributor::send_snapshot& action);
    void run(const ticket_distributor::read_head& action);
    void run(const ticket_distributor::read_tail& action);
    void run(const ticket_distributor::restore_tickets& action);
    void run(const ticket_distributor::apply_batch& action);
    void maybeCompact(const std::shared_ptr<const fleet_state>& state, store_epoch epoch);
    void countOperation(const char* operation, bool succeeded);

    ticket_store& m_store;
    state_keeper& m_states;
    node_status& m_status;
    peer_hub& m_peers;
    control_loop& m_loop;
    task_pool& m_tasks;
    node_metrics& m_metrics;
    ticket_distributor m_distributor;
    std::vector<node_id> m_usable;
    std::uint64_t m_compactedAt = 0;
    instant m_now;
};

} // namespace oriolepick
