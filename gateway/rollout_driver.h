/// \file
/// Rollouts of versions at one node: which targets requests may be sent to, and what their responses say.
#pragma once

#include "gateway/timer_queue.h"
#include "routing/rollout_coordinator.h"
#include "routing/target_tracker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

class decision_log;
class gateway_metrics;
class rollout_store;

/// Drives rollout_coordinator with timers, datagrams and the store. Exists only while rollouts are switched on.
class rollout_driver {
public:
    using sender = std::function<void(const node_id& to, const rollout_message& message)>;
    using callback = std::function<void(bool granted)>;

    /// All references outlive this object.
    /// \param nodeStart start time of this process
    rollout_driver(const node_id& self, std::uint64_t nodeStart, const rollout_settings& settings, seeded_random random,
        sender send, rollout_store& store, target_tracker& targetTracker, timer_queue& timers, decision_log& log,
        gateway_metrics& metrics);
    ~rollout_driver();

    /// Sets the other nodes that are believed alive.
    void setNodes(std::vector<node_id> others);

    /// Records that the other nodes are known. Before, this node may believe that it is alone and thus the decider of
    /// all services; so it reads no ledger, and leaves those of other deciders alone.
    void membershipSettled();

    void orderSeen(const rollout_order& order);
    void orderRemoved(const service_name& service);

    /// \return the services with an order
    std::vector<service_name> orderedServices() const;

    /// Records that registrations of targets of \p service may have changed.
    void targetsChanged(const service_name& service);

    void receive(const node_id& from, const rollout_message& message);

    /// \return the condition for the targets of a request without a permit, nothing if all versions may be chosen
    std::optional<version_condition> conditionOf(const service_name& service);

    /// \return the targets that a request with a permit may be sent to
    std::vector<target_name> canariesOf(const service_name& service);

    /// \return whether a request with a permit may be sent to \p target
    bool mayExposeTo(const target_entry& target);

    /// \return whether a new request of \p service may ask for a permit
    bool mayExpose(const service_name& service);

    /// Asks whether a new request may be sent to a canary, which must be done at once.
    /// \param done called with the decision if it is pending
    /// \return the decision, or nothing if it is pending
    std::optional<bool> requestPermit(const service_name& service, callback done);

    /// Records that a new request reaches the targets of \p service.
    void recordRequest(const service_name& service);

    /// Record the start and the end of an attempt at \p target.
    void recordStart(const target_entry& target);
    void recordEnd(const target_entry& target);

    /// Records a response of \p target, or that it has not come in time.
    /// \param route name of the route of the request
    /// \param duration to the response, or to the first event of a stream
    void recordAnswer(
        const target_entry& target, std::string_view route, bool failed, std::chrono::milliseconds duration);

private:
    /// What this node has seen of one order, for the log.
    struct order_state {
        rollout_order order;
        std::uint64_t oldAnswers = 0;
        std::uint64_t oldFailures = 0;
        std::uint64_t newAnswers = 0;
        std::uint64_t newFailures = 0;
        std::uint64_t permits = 0;
        std::uint64_t reserved = 0; // in the ledger that this node last read or wrote
    };

    using actions = rollout_coordinator::actions;

    void perform(const actions& actions);
    void performRead(const service_name& service);
    void performCommit(const commit_ledger& commit);
    void recordDecision(const service_name& service, bool granted);
    void logChange(const rollout_changed& change);
    void applyTargets();
    void scheduleTargets(instant due);
    void scheduleTick();

    sender m_send;
    rollout_store& m_store;
    target_tracker& m_targetTracker;
    timer_queue& m_timers;
    decision_log& m_log;
    gateway_metrics& m_metrics;
    rollout_coordinator m_coordinator;
    bool m_isSettled = false; // the other nodes are known
    struct pending_permit {
        service_name service;
        callback done;
    };
    std::map<service_name, order_state> m_orders;
    std::map<service_name, std::uint64_t> m_lastOrders; // revisions, also of orders that were withdrawn
    std::map<std::uint64_t, pending_permit> m_pending; // by number of the permit
    std::set<service_name> m_changedServices; // whose targets the coordinator does not know yet
    std::set<service_name> m_postponedReads; // until the other nodes are known
    timer_handle m_targetTimer = 0;
    timer_handle m_tickTimer = 0;
    instant m_tickDue;
};

} // namespace oriolepick
