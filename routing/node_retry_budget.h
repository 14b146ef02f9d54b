/// \file
/// Limits per service how many attempts beyond the first of each request a node may send.
#pragma once

#include "core/instant.h"
#include "core/retry_budget.h"
#include "routing/routing_names.h"

#include <cstdint>
#include <map>
#include <optional>

namespace oriolepick {

/// Limits of the deployment, and this node's share of them.
struct node_retry_budget_settings {
    double ratio = 0.8; ///< retries per request, over all nodes
    double minRetries = 150; ///< retries over all nodes that are allowed per window without any requests
    std::chrono::milliseconds window { 10'000 };
    /// Share of the ratio that requests earn; the rest covers the saved balances of the nodes.
    double earnedShare = 0.7;
    /// Minimum balance that a node may save: an engine that crashes fails several of its streams at once. Nodes with
    /// few requests seldom use it, so that the sum over many nodes stays within the rest of the ratio.
    double burst = 3;
    /// Number of nodes that share minRetries while the real number is unknown.
    double assumedNodes = 100;
};

/// Each node earns retries in proportion to its own requests, so that the sum over all nodes keeps the ratio without
/// a shared counter.
class node_retry_budget {
public:
    explicit node_retry_budget(node_retry_budget_settings settings);

    /// Changes the limits; balances earned under the old ones remain.
    void apply(node_retry_budget_settings settings) { m_settings = settings; }

    /// Sets the number of nodes that share minRetries.
    void setNodes(std::size_t nodes, instant now);

    /// Counts a request for \p service.
    void recordRequest(const service_name& service, instant now);

    /// \param reserve retries that must be left for others afterwards
    /// \return whether take() would succeed
    bool mayTake(const service_name& service, instant now, double reserve = 0);

    /// Spends one retry.
    /// \param reserve retries that must be left for others afterwards
    /// \return false if the budget is exhausted
    bool take(const service_name& service, instant now, double reserve = 0);

    /// \return whether the share of minRetries that this node has is smaller than what several lost streams need
    bool isShareSmall() const { return slackShare() / 2 < m_settings.burst; }

    /// Takes retries from this node for another one, and leaves one for its own next failure.
    /// \return the number of retries taken, at most \p wanted
    std::uint32_t give(const service_name& service, std::uint32_t wanted, instant now);

    /// Adds retries that another node has given up. What exceeds the maximum balance is lost.
    void receive(const service_name& service, std::uint32_t retries, instant now);

    /// \return the number of denied retries
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
