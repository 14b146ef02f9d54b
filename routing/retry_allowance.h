/// \file
/// Bounds how many attempts beyond the first of each request a node may send, per service.
#pragma once

#include "core/instant.h"
#include "core/retry_budget.h"
#include "routing/routing_names.h"

#include <map>

namespace oriolepick {

/// How the deployment bounds repeats, and this node's share of it.
struct allowance_settings {
    double ratio = 0.8; ///< repeats to requests, over all nodes
    double slack = 150; ///< repeats over all nodes that are allowed without requests in one window
    std::chrono::milliseconds window { 10'000 };
    /// Part of the ratio that is spent: windows of requests and repeats do not line up exactly.
    double safety = 0.85;
    /// Nodes that may share the slack when their number is not known.
    double assumedNodes = 12;
};

/// Each node earns repeats in proportion to its own requests, so that the sum over all nodes keeps the ratio without a
/// shared counter.
class retry_allowance {
public:
    explicit retry_allowance(allowance_settings settings);

    /// Changes the bounds; what was earned under the old ones is kept.
    void apply(allowance_settings settings) { m_settings = settings; }

    /// Counts a request for \p service.
    void recordRequest(const service_name& service, instant now);

    /// Takes one repeat.
    /// \return false when the allowance is used up
    bool take(const service_name& service, instant now);

    /// \return repeats that were denied
    std::uint64_t denied() const { return m_denied; }

private:
    retry_account& accountOf(const service_name& service, instant now);

    allowance_settings m_settings;
    std::map<service_name, retry_account> m_accounts;
    std::uint64_t m_denied = 0;
};

} // namespace oriolepick
