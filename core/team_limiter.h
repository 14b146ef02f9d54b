/// \file
/// Token-based limits per team on one node, fed by grants of the team's owner.
#pragma once

#include "core/error.h"
#include "core/instant.h"
#include "core/names.h"
#include "core/team_grant.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace oriolepick {

/// Settings of team_limiter.
struct team_limiter_settings {
    std::chrono::milliseconds burst { 2'000 }; ///< a bucket holds the tokens of this time
    std::chrono::milliseconds reportInterval { 2'000 };
    double reportChangeThreshold = 0.25; ///< a change of demand by this share is reported at once,
    double reportLimitThreshold = 0.02; ///< if it is also this share of the team's limit; single requests of a small
                                        ///< demand would otherwise cause a report each
    std::chrono::milliseconds minReportInterval { 200 }; ///< between reports about one team, also when demand changes
    std::chrono::milliseconds demandWindow { 2'000 }; ///< time constant of the demand estimate
    std::chrono::milliseconds idleTimeout { 10'000 }; ///< a team without requests for so long is no longer reported
    std::chrono::milliseconds maxRetryAfter { 30'000 };
};

/// Limits of all teams on one node. Let L be a team's limit, f its fixed share, b the burst time, n_i the node count as
/// node i knows it, O the number of nodes with unexpired grants outstanding (1; one per partition during a partition;
/// 2 for the time by which the nodes' views of membership differ), c the largest cost of one request, and n the number
/// of nodes plus the number of node starts in the window. In any window W all nodes together admit at most
///     L * (W + b) * (O * (1 - f) + f * sum over i of 1 / n_i) + n * c
/// tokens. With equal views this is L * (W + b) + n * c, and in P partitions P * L * (W + b) + n * c. A start counts
/// like a node, because a restarted node has forgotten the debt of its last request.
class team_limiter {
public:
    explicit team_limiter(team_limiter_settings settings = {});

    /// Sets a team's limit. A team without limit is not limited.
    void setLimit(const team_id& team, const team_limit& limit, instant now);
    void removeLimit(const team_id& team);

    /// Sets the number of nodes that share the fixed share, from membership; nodes that are only suspected count.
    void setNodeCount(std::uint32_t nodes, instant now);

    /// Admits a request when the team's bucket is not in debt. The whole cost is taken, so that a request larger than
    /// the bucket is possible; the debt delays the next ones.
    /// \param cost prompt tokens and the most output tokens
    /// \return LimitExceeded with the time until the bucket is out of debt
    result<void> admit(const team_id& team, std::uint32_t cost, instant now);

    /// Returns the part of a reservation that the request did not use.
    void refund(const team_id& team, std::uint32_t unused, instant now);

    /// Applies an owner's grant. A grant for an older report than the one in force is ignored.
    void applyGrant(const team_grant& grant, instant now);

    /// \return the reports that are due now
    std::vector<demand_report> dueReports(instant now);

    /// \return the rate that the team may use on this node now, infinity without limit
    double rate(const team_id& team, instant now) const;

    /// \return estimated bytes of heap memory in use
    std::size_t memoryBytes() const;

private:
    struct bucket {
        team_limit limit;
        double tokens = 0;
        instant refilledAt;
        double granted = 0;
        instant grantExpires;
        std::uint64_t grantSequence = 0;
        double demand = 0; // tokens per second, exponentially weighted
        instant demandAt;
        double reportedDemand = 0;
        std::optional<instant> reportedAt;
        std::optional<instant> lastRequest;
        struct sent_report {
            std::uint64_t sequence = 0;
            instant at;
        };
        std::vector<sent_report> pendingReports;
    };

    bool isActive(const bucket& state, instant now) const;
    static instant::duration timeSinceReport(const bucket& state, instant now);
    double fixedRate(const bucket& state) const;
    double rateAt(const bucket& state, instant now) const;
    void refill(bucket& state, instant now) const;
    void addDemand(bucket& state, double cost, instant now) const;

    team_limiter_settings m_settings;
    std::uint32_t m_nodes = 1;
    std::uint64_t m_sequence = 0;
    absl::flat_hash_map<team_id, bucket> m_buckets;
};

} // namespace oriolepick
