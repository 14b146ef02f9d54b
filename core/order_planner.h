/// \file
/// Reconciles what targets run with what they should run, by idempotent orders. A late or repeated order is harmless
/// or is corrected by a later round, because every round starts from what the targets report.
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

/// One target as it should be and as it was last observed.
struct planned_target {
    target_id target;
    availability_zone zone;
    int capacity = 1;
    std::optional<model_ref> wanted; ///< nothing: no deployment lists it, its models are to be unloaded
    std::string wantedRole;
    bool leaving = false; ///< by any source
    bool reachable = false; ///< whether it has reported recently; the rest is its report
    bool draining = false;
    int runningRequests = 0; ///< requests in progress
    bool loading = false;
    std::vector<model_ref> loaded;
    std::string role;
};

/// An order to one target.
struct target_order {
    target_id target;
    order_kind kind = order_kind::Drain;
    model_ref model; ///< for Load and Unload
    std::string role; ///< for Role
    std::uint64_t fencing = 0;
    std::uint64_t ticket = 0; ///< number in force that the order follows
};

/// The holder's right to order: check at the time of sending that the lease still holds.
struct lease_authority {
    std::uint64_t fencing = 0;
    std::uint64_t ticket = 0;
};

/// Settings of the planner.
struct order_planner_settings {
    std::chrono::milliseconds reissueInterval { 2'000 }; ///< the reconciliation period
    /// A given drain counts as done for this long; later the target's report decides. Reports are at most 10 s old.
    std::chrono::milliseconds assumeDrainedFor { 10'000 };
    std::chrono::milliseconds loadReissueInterval { 30'000 }; ///< a load whose start the target has not reported
};

/// Plans the orders of all target groups that this node holds.
class order_planner {
public:
    explicit order_planner(order_planner_settings settings);

    /// Sets this node's part of the weight store's rate.
    void setLoadsPerMinute(double rate) { m_loadsPerMinute = rate; }

    /// Plans one round for the targets of one deployment in one zone.
    /// \param targets all targets of the deployment in all zones: the share in change is counted over all of them
    /// \param zone the zone of the lease; only its targets get orders
    /// \param maxUnavailableShare largest share of the total capacity to have out of service at a time; one target may
    /// always
    ///     change when all others serve
    std::vector<target_order> plan(instant now, const std::vector<planned_target>& targets,
        const availability_zone& zone, double maxUnavailableShare, const lease_authority& authority);

private:
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
