/// \file
/// Token-based rate limits per team on one node, as token buckets that are refilled at the rate of the owner's grants.
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
    std::chrono::milliseconds burst { 2'000 }; ///< size of a bucket, as the time in which it fills
    std::chrono::milliseconds reportInterval { 2'000 }; ///< between periodic reports about one team
    /// A change of demand by more than this share of the reported demand is reported before the next periodic report if
    /// it also exceeds reportLimitThreshold.
    double reportChangeThreshold = 0.25;
    /// Share of the team's limit. Without this threshold each request of a team with small demand would cause a report.
    double reportLimitThreshold = 0.02;
    std::chrono::milliseconds minReportInterval {
        200
    }; ///< lower bound between reports about one team if demand changes
    std::chrono::milliseconds demandWindow { 2'000 }; ///< time constant of the demand estimate
    std::chrono::milliseconds idleTimeout { 10'000 }; ///< a team without requests for this time is no longer reported
    std::chrono::milliseconds maxRetryAfter { 30'000 }; ///< upper bound of the retry-after time of a rejected request
};

/// Rate limits of all teams on one node. Let L be a team's limit, f its fixed share, b the burst time, n_i the number
/// of nodes in the membership view of node i, O the number of grant owners with unexpired grants (1; one per partition
/// during a partition; 2 while the nodes' membership views differ), c the largest cost of one request, and n the number
/// of nodes plus the number of node starts in the window. In any window W, all nodes together admit at most
///     L * (W + b) * (O * (1 - f) + f * sum over i of 1 / n_i) + n * c
/// tokens. With equal views this is L * (W + b) + n * c, and in P partitions P * L * (W + b) + n * c. A node start
/// counts like a node, because a restarted node does not have the debt of its last request.
class team_limiter {
public:
    explicit team_limiter(team_limiter_settings settings = {});

    /// Sets a team's limit. Requests of a team without a limit are always admitted.
    void setLimit(const team_id& team, const team_limit& limit, instant now);
    void removeLimit(const team_id& team);

    /// Sets the number of nodes among which the fixed share is divided: all members, including suspected ones.
    void setNodeCount(std::uint32_t nodes, instant now);

    /// Admits a request if the team's bucket is not in debt. The whole cost is taken from the bucket, which may go into
    /// debt: a request may be larger than the bucket, and the debt delays the following requests.
    /// \param cost number of prompt tokens plus the largest number of output tokens
    /// \return success, or LimitExceeded with the time until the bucket is out of debt
    result<void> admit(const team_id& team, std::uint32_t cost, instant now);

    /// Returns to the bucket the part of an admitted cost that the request did not use.
    void refund(const team_id& team, std::uint32_t unused, instant now);

    /// Applies a grant. A grant for an older report than that of the current grant is ignored.
    void applyGrant(const team_grant& grant, instant now);

    /// \return the demand reports that are due now; the caller must send them
    std::vector<demand_report> dueReports(instant now);

    /// \return the current refill rate of the team on this node in tokens per second; infinity without a limit
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
        double demand = 0; // tokens per second, exponentially weighted moving average
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
