/// \file
/// Bounds how many attempts beyond the first of each request a node may send, per service.
#pragma once

#include "core/instant.h"
#include "core/retry_budget.h"
#include "routing/routing_names.h"

#include <map>
#include <optional>

namespace oriolepick {

/// How the deployment bounds repeats, and this node's share of it.
struct node_retry_budget_settings {
    double ratio = 0.8; ///< repeats to requests, over all nodes
    double minRetries = 150; ///< repeats over all nodes that are allowed without requests in one window
    std::chrono::milliseconds window { 10'000 };
    /// Part of the ratio that requests earn; the rest of it covers what nodes have saved up.
    double earnedShare = 0.7;
    /// A node may always save up this many: an engine that crashes takes several of its streams at once. Nodes with few
    /// requests seldom use them, so that the sum over many nodes stays within the rest of the ratio.
    double burst = 3;
    /// Nodes that may share the slack when their number is not known.
    double assumedNodes = 100;
};

/// Each node earns repeats in proportion to its own requests, so that the sum over all nodes keeps the ratio without a
/// shared counter.
class node_retry_budget {
public:
    explicit node_retry_budget(node_retry_budget_settings settings);

    /// Changes the bounds; what was earned under the old ones is kept.
    void apply(node_retry_budget_settings settings) { m_settings = settings; }

    /// Sets how many nodes share the slack.
    void setNodes(std::size_t nodes, instant now);

    /// Counts a request for \p service.
    void recordRequest(const service_name& service, instant now);

    /// Takes one repeat.
    /// \return false when the allowance is used up
    bool take(const service_name& service, instant now);

    /// \return repeats that were denied
    std::uint64_t deniedRetries() const { return m_deniedRetries; }

private:
    retry_account& accountOf(const service_name& service, instant now);

    double slackShare() const;
    retry_account newAccount(instant now) const;

    node_retry_budget_settings m_settings;
    std::optional<double> m_nodes;
    std::map<service_name, retry_account> m_accounts;
    std::uint64_t m_deniedRetries = 0;
};

} // namespace oriolepick
