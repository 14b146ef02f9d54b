/// \file
/// Reconciles the actual state of targets with the desired state by idempotent orders. The effect of a late or repeated
/// order is harmless or is corrected by a later round, because every round starts from the targets' reports.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "core/order_kind.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace oriolepick {

/// Desired state and last reported state of one target.
struct planned_target {
    target_id target;
    availability_zone zone;
    int capacity = 1;
    std::optional<model_ref> wanted; ///< desired model; empty if no deployment lists the target, so that its models
                                     ///< have to be unloaded
    std::string wantedRole; ///< desired role
    bool leaving = false; ///< whether the target is leaving, according to any source
    bool reachable = false; ///< whether the target has reported recently; the following members are its report
    bool draining = false;
    int runningRequests = 0; ///< number of requests in progress
    bool loading = false; ///< whether a model is being loaded
    std::vector<model_ref> loaded;
    std::string role;
};

/// An order to one target.
struct target_order {
    target_id target;
    order_kind kind = order_kind::Drain;
    model_ref model; ///< for Load and Unload
    std::string role; ///< for Role
    std::uint64_t fencing = 0; ///< fencing number of the lease under which the order was planned
    std::uint64_t ticket = 0; ///< number in force from which the order was planned
};

/// The lease and the state under which orders are planned. The sender must check that the lease is still valid when it
/// sends an order.
struct lease_authority {
    std::uint64_t fencing = 0; ///< fencing number of the lease
    std::uint64_t ticket = 0; ///< number in force
};

/// Settings of order_planner.
struct order_planner_settings {
    std::chrono::milliseconds reissueInterval { 2'000 }; ///< until an order is issued again; the reconciliation period
    /// A target counts as draining for this time after a drain order; afterwards its report decides. Reports are at
    /// most 10 s old.
    std::chrono::milliseconds assumeDrainedFor { 10'000 };
    std::chrono::milliseconds loadReissueInterval { 30'000 }; ///< the same for a load that the target does not report
};

/// Plans the orders for all target groups whose leases this node holds.
class order_planner {
public:
    explicit order_planner(order_planner_settings settings);

    /// Sets this node's part of the weight store's rate limit.
    void setLoadsPerMinute(double rate) { m_loadsPerMinute = rate; }

    /// Plans one round for the targets of one deployment in one zone.
    /// \param targets the targets of the deployment in all zones; unavailable capacity is counted over all of them
    /// \param zone the zone of the lease; only targets in this zone receive orders
    /// \param maxUnavailableShare largest share of the total capacity that may be unavailable at a time; one target
    ///     may always change if all others are in service
    std::vector<target_order> plan(instant now, const std::vector<planned_target>& targets,
        const availability_zone& zone, double maxUnavailableShare, const lease_authority& authority);

private:
    /// The last order that was issued to a target.
    struct issued_order {
        order_kind kind;
        model_ref model;
        std::uint64_t ticket;
        instant at;
    };

    bool hasRecentDrainOrder(instant now, const target_id& target) const;
    bool mayReissue(instant now, const target_order& order) const;
    bool consumeLoadToken(instant now);

    order_planner_settings m_settings;
    double m_loadsPerMinute = 6;
    double m_loadTokens = 1;
    instant m_tokensRefilledAt {};
    absl::flat_hash_map<target_id, issued_order> m_issued;
};

} // namespace oriolepick
