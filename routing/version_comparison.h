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
    /// Probability of a bad verdict on a sound version. As the comparison is repeated with each report, one made on n
    /// responses of the new version takes a part of 1 / (10 + n) of it, and one on a single
    /// group of routes 1 / (number of groups).
    /// The last one before the shift takes all of it.
    double chance = 1e-3;
    double suspicion = 0.05; ///< probability below which it is worth observing for longer
    /// Responses without failure credited to the old version: so few failures are not worth a test, and a service with
    /// one request a second has too few responses for one. Only a service that fails more than a tenth of its requests
    /// anyway differs notably.
    std::uint64_t assumedSuccesses = 20;
    std::uint64_t minHits = 3; ///< failures or slow responses without which no version is bad
    /// Share of failures that the old version is assumed to have at least while all requests are shifted: without load
    /// at it, a disturbance of some targets cannot be told from a fault. A fifth that fails 45% makes 9%.
    double shiftedFailures = 0.1;
    double slowExcess = 0.05; ///< share of slow responses that a version may have more than the old one
    /// Canaries that must show the fault, as a part of the number expected if each of them had it. Some targets fail or
    /// are slow on any version: then few canaries have many of the faults. With many responses and a fault in half of
    /// them this means three quarters of the canaries; with one response each, it excludes nothing.
    double canaryShare = 0.75;
    /// A canary shows a fault if its share of faulty responses is at least this part of that of all canaries.
    double canaryFaultPart = 0.25;
    std::uint64_t minCanaries = 4; ///< that must show the fault, if there are as many
    /// Recent period that is also judged by itself: the good responses before would hide a fault that begins later.
    std::chrono::milliseconds recentPeriod { 3'000 };
};

/// The result of a comparison.
struct version_verdict {
    bool bad = false;
    bool suspect = false; ///< not bad, but more responses are worth waiting for
    std::string reason; ///< of a bad verdict, for the log
};

/// When a comparison is made.
enum class comparison_stage {
    Observing,
    EndOfObservation, ///< the last one before all requests are shifted
    Shifting, ///< the old version has no load any more, so slowness is not judged: it depends on the load
};

/// Merges the cumulative counts of all nodes and judges the new version. A version is bad if, over all routes or on one
/// group of routes, over the whole time or the recent period, more of its responses fail, or more of them exceed twice
/// a time than those of the old version exceed that time, beyond chance, and most canaries show it. Without responses a
/// version is not bad.
class version_comparison {
public:
    explicit version_comparison(const version_comparison_settings& settings);

    /// Merges a report; outdated and duplicate ones change nothing.
    /// \param from the node that sent it
    void merge(const node_id& from, const rollout_report& report);

    /// \return the requests that reached the service at all nodes, including earlier starts of restarted ones
    std::uint64_t requests() const { return m_requests; }

    /// \return the responses of the new version at all nodes
    std::uint64_t newResponses() const { return m_newResponses; }

    /// \return the verdict on all reports so far
    version_verdict judge(comparison_stage stage, instant now);

private:
    using cell_key = std::pair<std::uint8_t, std::uint64_t>; // group of routes, target
    using cell_map = std::map<cell_key, response_counts>;
    struct node_counts {
        std::uint64_t requests = 0;
        cell_map cells;
    };
    struct snapshot {
        instant at;
        cell_map totals;
    };
    struct evidence {
        response_counts oldCounts;
        response_counts newCounts;
        std::uint64_t running = 0; // attempts at the new version without a response
        std::map<std::uint64_t, response_counts> canaries;
    };
    /// Responses with one fault among those of one version or target.
    struct fault_count {
        std::uint64_t hits = 0;
        std::uint64_t total = 0;
    };
    using fault_counter = fault_count (*)(const response_counts& counts, std::size_t bucket);
    static constexpr cell_key Starts { static_cast<std::uint8_t>(UnspecifiedRoute), 0 };

    cell_map recentTotals(instant now);
    /// A kind of fault and what makes it significant.
    struct criterion {
        std::string name;
        fault_counter count;
        std::size_t bucket;
        std::uint64_t unaffected; // attempts in addition to those counted
        double minExcess; // of the share of the new version over that of the old one
        double chance;
    };

    void judgePeriod(version_verdict& verdict, const cell_map& cells, comparison_stage stage) const;
    void judgeEvidence(
        version_verdict& verdict, const evidence& seen, comparison_stage stage, std::size_t groups) const;
    void judgeFault(
        version_verdict& verdict, const evidence& seen, fault_count oldFaults, const criterion& fault) const;
    bool isShownByCanaries(const evidence& seen, fault_count newFaults, const criterion& fault) const;

    version_comparison_settings m_settings;
    std::map<std::pair<node_id, std::uint64_t>, node_counts> m_nodes; // by node and its start
    cell_map m_totals;
    std::uint64_t m_requests = 0;
    std::uint64_t m_newResponses = 0;
    std::deque<snapshot> m_snapshots; // of the recent period
};

} // namespace oriolepick
