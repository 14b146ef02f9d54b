#include "routing/version_comparison.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds FirstBucket { 20 };
    constexpr std::chrono::milliseconds SnapshotPeriod { 500 };
    constexpr double LookOffset = 10; ///< the first comparisons take this part of the chance
    constexpr double MedianShare = 0.5;
    constexpr double TailShare = 0.05;

    // Applies an operation to all counters of two records.
    template <typename Operation> void combine(response_counts& left, const response_counts& right, Operation operation)
    {
        left.responses = operation(left.responses, right.responses);
        left.failures = operation(left.failures, right.failures);
        std::transform(
            left.latencies.begin(), left.latencies.end(), right.latencies.begin(), left.latencies.begin(), operation);
    }

    // The cells of a report may be inconsistent with each other, so differences are never below zero.
    std::uint64_t difference(std::uint64_t left, std::uint64_t right)
    {
        return left - std::min(left, right);
    }

    std::uint64_t slowerThan(const response_counts& counts, std::size_t bucket)
    {
        const auto first = std::min(bucket + 1, LatencyBuckets);
        return std::accumulate(
            counts.latencies.begin() + static_cast<std::ptrdiff_t>(first), counts.latencies.end(), std::uint64_t { 0 });
    }

    std::uint64_t timedResponses(const response_counts& counts)
    {
        return std::accumulate(counts.latencies.begin(), counts.latencies.end(), std::uint64_t { 0 });
    }

    // The first bucket that at most a share of the responses exceeds.
    std::size_t quantileBucket(const response_counts& counts, double share)
    {
        const auto limit = share * static_cast<double>(timedResponses(counts));
        std::size_t bucket = 0;
        while (bucket + 1 < LatencyBuckets && static_cast<double>(slowerThan(counts, bucket)) > limit)
            ++bucket;
        return bucket;
    }

    double logChoose(std::uint64_t total, std::uint64_t chosen)
    {
        const auto logFactorial = [](std::uint64_t number) { return std::lgamma(static_cast<double>(number) + 1); };
        return logFactorial(total) - logFactorial(chosen) - logFactorial(total - chosen);
    }

} // namespace

std::size_t latencyBucket(std::chrono::milliseconds latency)
{
    std::size_t bucket = 0;
    for (auto bound = FirstBucket; latency >= bound && bucket + 1 < LatencyBuckets; bound *= 2)
        ++bucket;
    return bucket;
}

double chanceOfExcess(std::uint64_t newHits, std::uint64_t newTotal, std::uint64_t oldHits, std::uint64_t oldTotal)
{
    const auto hits = newHits + oldHits;
    const auto all = logChoose(newTotal + oldTotal, hits);
    double chance = 0;
    for (auto count = newHits; count <= std::min(hits, newTotal); ++count) {
        const auto term = std::exp(logChoose(newTotal, count) + logChoose(oldTotal, hits - count) - all);
        chance += term;
        if (term < chance * 1e-9)
            break; // the terms decrease from here, as the excess is positive
    }
    return std::min(chance, 1.0);
}

version_comparison::version_comparison(const version_comparison_settings& settings)
    : m_settings(settings)
{
}

void version_comparison::merge(const node_id& from, const rollout_report& report)
{
    auto& node = m_nodes[{ from, report.nodeStart }];
    m_requests += difference(report.requests, node.requests);
    node.requests = std::max(node.requests, report.requests);
    for (const auto& cell : report.cells) {
        const cell_key key { cell.route, cell.target };
        auto& known = node.cells[key];
        if (cell.counts.responses <= known.responses)
            continue;
        if (cell.target != 0)
            m_newResponses += cell.counts.responses - known.responses;
        auto added = cell.counts;
        combine(added, known, difference);
        combine(m_totals[key], added, std::plus<>());
        known = cell.counts;
    }
}

version_comparison::cell_map version_comparison::recentTotals(instant now)
{
    while (m_snapshots.size() > 1 && m_snapshots[1].at + m_settings.recentPeriod <= now)
        m_snapshots.pop_front();
    if (m_snapshots.empty() || m_snapshots.back().at + SnapshotPeriod <= now)
        m_snapshots.push_back({ now, m_totals });
    auto recent = m_totals;
    for (const auto& [key, counts] : m_snapshots.front().totals)
        combine(recent[key], counts, difference);
    return recent;
}

version_verdict version_comparison::judge(comparison_stage stage, instant now)
{
    version_verdict verdict;
    auto recent = recentTotals(now);
    if (stage == comparison_stage::Shifting) {
        for (const auto& [key, counts] : m_totals) {
            if (key.second == 0 && key != Starts)
                recent[key] = counts;
        }
    }
    judgePeriod(verdict, m_totals, stage);
    if (!verdict.bad)
        judgePeriod(verdict, recent, stage == comparison_stage::Shifting ? stage : comparison_stage::Observing);
    verdict.suspect = verdict.suspect && !verdict.bad;
    return verdict;
}

void version_comparison::judgePeriod(version_verdict& verdict, const cell_map& cells, comparison_stage stage) const
{
    evidence all;
    std::map<std::uint8_t, evidence> routes;
    const auto add = [](evidence& seen, std::uint64_t target, const response_counts& counts) {
        combine(target == 0 ? seen.oldCounts : seen.newCounts, counts, std::plus<>());
        if (target != 0)
            combine(seen.canaries[target], counts, std::plus<>());
    };
    const auto isOther = [](const cell_key& key) { return key.first == UnspecifiedRoute && key != Starts; };
    const auto others = static_cast<std::size_t>(
        std::count_if(cells.begin(), cells.end(), [&isOther](const auto& cell) { return isOther(cell.first); }));
    // While shifting, the canaries are few among all targets, but have most of the responses from before.
    const bool skipsCanaries = stage == comparison_stage::Shifting && others > MaxCanaries;
    std::uint64_t starts = 0;
    std::uint64_t responses = 0;
    for (const auto& [key, counts] : cells) {
        if (key == Starts) {
            starts = counts.responses;
            continue;
        }
        responses += key.second != 0 ? counts.responses : 0;
        if (key.second == 0 || isOther(key) || !skipsCanaries)
            add(all, key.second, counts);
        if (key.first != UnspecifiedRoute)
            add(routes[key.first], key.second, counts);
    }
    all.running = difference(starts, responses);
    judgeEvidence(verdict, all, stage, 1);
    if (routes.size() < 2)
        return;
    for (auto& [route, seen] : routes) {
        const auto routeResponses = seen.oldCounts.responses + seen.newCounts.responses;
        const auto allResponses = std::max<std::uint64_t>(all.oldCounts.responses + responses, 1);
        seen.running = (all.running * routeResponses + allResponses - 1) / allResponses;
        if (!verdict.bad)
            judgeEvidence(verdict, seen, stage, routes.size());
    }
}

void version_comparison::judgeEvidence(
    version_verdict& verdict, const evidence& seen, comparison_stage stage, std::size_t groups) const
{
    auto chance = m_settings.chance / static_cast<double>(groups);
    if (stage != comparison_stage::EndOfObservation)
        chance /= LookOffset + static_cast<double>(seen.newCounts.responses);
    const std::string where = groups == 1 ? "" : " on one route";

    const auto failures = [](const response_counts& counts, std::size_t) {
        return fault_count { counts.failures, counts.responses };
    };
    auto oldFailures = failures(seen.oldCounts, 0);
    oldFailures.total += m_settings.assumedSuccesses;
    if (stage == comparison_stage::Shifting) {
        const auto assumed = m_settings.shiftedFailures * static_cast<double>(oldFailures.total);
        oldFailures.hits = std::max(oldFailures.hits, static_cast<std::uint64_t>(assumed));
    }
    judgeFault(verdict, seen, oldFailures, { "failures" + where, failures, 0, seen.running, 0, chance });
    if (stage == comparison_stage::Shifting)
        return;

    // A bucket bound is doubled by the next one. So a version is slow if more of its responses are beyond the next
    // bucket than those of the old version are beyond a bucket. The median serves while a fifth of the old targets is
    // slow, as the tail is then as slow as a bad version.
    const auto slow = [](const response_counts& counts, std::size_t bucket) {
        return fault_count { slowerThan(counts, bucket), timedResponses(counts) };
    };
    for (const auto share : { MedianShare, TailShare }) {
        const auto bucket = quantileBucket(seen.oldCounts, share);
        const criterion fault { "slow responses" + where, slow, bucket + 1, 0, m_settings.slowExcess, chance };
        judgeFault(verdict, seen, slow(seen.oldCounts, bucket), fault);
    }
}

void version_comparison::judgeFault(
    version_verdict& verdict, const evidence& seen, fault_count oldFaults, const criterion& fault) const
{
    auto faults = fault.count(seen.newCounts, fault.bucket);
    faults.total += fault.unaffected;
    if (verdict.bad || faults.hits < m_settings.minHits || oldFaults.total == 0)
        return;
    const auto part
        = [](const fault_count& count) { return static_cast<double>(count.hits) / static_cast<double>(count.total); };
    if (part(faults) - part(oldFaults) <= fault.minExcess)
        return;
    const auto found = chanceOfExcess(faults.hits, faults.total, oldFaults.hits, oldFaults.total);
    verdict.suspect = verdict.suspect || found < m_settings.suspicion;
    if (found >= fault.chance || !isShownByCanaries(seen, faults, fault))
        return;
    verdict.bad = true;
    verdict.reason = fault.name + ": " + std::to_string(faults.hits) + " of " + std::to_string(faults.total)
        + ", old version " + std::to_string(oldFaults.hits) + " of " + std::to_string(oldFaults.total);
}

bool version_comparison::isShownByCanaries(const evidence& seen, fault_count newFaults, const criterion& fault) const
{
    const auto share = static_cast<double>(newFaults.hits) / static_cast<double>(newFaults.total);
    std::uint64_t responding = 0;
    std::uint64_t showing = 0;
    double expected = 0; // to show at least one fault
    // The attempts that are still running are spread over the canaries like the responses.
    const auto counted = fault.count(seen.newCounts, fault.bucket).total;
    const auto scale = static_cast<double>(newFaults.total) / static_cast<double>(counted);
    for (const auto& [target, counts] : seen.canaries) {
        const auto faults = fault.count(counts, fault.bucket);
        const auto total = static_cast<double>(faults.total) * scale;
        responding += faults.total > 0;
        showing += faults.hits > 0 && static_cast<double>(faults.hits) >= m_settings.canaryFaultPart * share * total;
        expected += 1 - std::pow(1 - share, total);
    }
    return showing >= std::min(responding, m_settings.minCanaries)
        && static_cast<double>(showing) >= m_settings.canaryShare * expected;
}

} // namespace oriolepick
