/// \file
/// Compares the responses of a new version with those of the old one.
#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "routing/rollout_messages.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace oriolepick {

/// \return index of the bucket of \p latency in response_counts
std::size_t latencyBucket(std::chrono::milliseconds latency);

/// Fisher's exact test, one-sided.
/// \return the probability that, if both versions were equal, at least \p newHits of the hits were among the
/// \p newTotal responses of the new version
double chanceOfExcess(std::uint64_t newHits, std::uint64_t newTotal, std::uint64_t oldHits, std::uint64_t oldTotal);

/// Settings of version_comparison.
struct version_comparison_settings {
    /// Probability of a bad verdict by chance in one comparison. A rollout of a minute makes some thousand, strongly
    /// dependent comparisons (17 groups of routes, two periods, four criteria, four times a second), so that 1 in 1,000
    /// for the whole rollout takes a much smaller number for each.
    double chance = 1e-6;
    std::uint64_t minHits = 3; ///< failures or slow responses without which no version is bad
    double slowExcess = 0.05; ///< share of slow responses that a version may have more than the old one
    std::uint64_t canaryResponses = 3; ///< with which a canary counts
    double canaryShare
        = 0.5; ///< of the canaries that must show the fault: some targets fail or are slow on any version
    std::uint64_t sparseCanaries = 3; ///< canaries that must show the fault while fewer than two have enough responses
    /// Recent period that is also judged by itself: the good responses before would hide a fault that begins later.
    std::chrono::milliseconds recentPeriod { 3'000 };
};

/// The result of a comparison.
struct version_verdict {
    bool bad = false;
    std::string reason; ///< of a bad verdict, for the log
    std::uint64_t newResponses = 0; ///< over all nodes
};

/// Merges the cumulative counts of all nodes and judges the new version. A version is bad if, over all routes or on one
/// group of routes, over the whole time or the recent period, more of its responses fail, or more are twice as slow,
/// than those of the old version beyond chance, and at least half of the canaries show it. Without responses a version
/// is not bad.
class version_comparison {
public:
    explicit version_comparison(const version_comparison_settings& settings);

    /// Merges a report; outdated and duplicate ones change nothing.
    /// \param from the node that sent it
    void merge(const node_id& from, const rollout_report& report, instant now);

    /// \return the requests that reached the service at all nodes, including earlier starts of restarted ones
    std::uint64_t requests() const { return m_requests; }

    /// \return the verdict on all reports so far
    version_verdict judge(instant now);

private:
    struct cell_key {
        std::uint8_t route;
        std::uint64_t target;
        friend bool operator<(const cell_key& left, const cell_key& right)
        {
            return std::pair(left.route, left.target) < std::pair(right.route, right.target);
        }
    };
    using cell_map = std::map<cell_key, response_counts>;
    struct node_counts {
        std::uint64_t requests = 0;
        cell_map cells;
    };
    struct snapshot {
        instant at;
        cell_map totals;
    };

    version_verdict judgePeriod(const cell_map& totals) const;
    std::string findFault(const cell_map& cells) const;

    version_comparison_settings m_settings;
    std::map<std::pair<node_id, std::uint64_t>, node_counts> m_nodes; // by node and its start
    cell_map m_totals;
    std::uint64_t m_requests = 0;
    std::deque<snapshot> m_snapshots; // of the recent period
    bool m_changed = false; // since the last verdict
    version_verdict m_verdict;
};

} // namespace oriolepick
