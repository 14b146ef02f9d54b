#include "bench/placement_figures.h"

#include "bench/placement_trace.h"

#include <algorithm>
#include <numeric>

namespace oriolepick {

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

std::vector<double> firstTokenTimes(const run_log& log, double from, double until)
{
    std::vector<double> times;
    for (const auto& request : log.requests) {
        if (!request.service && request.arrival >= from && request.arrival < until && request.firstToken >= 0)
            times.push_back(request.waited);
    }
    return times;
}

double gapQuantile95(const run_log& log)
{
    auto gaps = log.gaps;
    std::sort(gaps.begin(), gaps.end());
    std::uint64_t total = 0;
    for (const auto& [gap, count] : gaps)
        total += count;
    std::uint64_t seen = 0;
    for (const auto& [gap, count] : gaps) {
        seen += count;
        if (seen * 20 >= total * 19)
            return gap;
    }
    return 0;
}

double goodput(const run_log& log, double from, double until)
{
    double tokens = 0;
    for (const auto& [second, count] : log.deliveries)
        tokens += second >= from && second < until ? count : 0;
    return tokens / (until - from);
}

double fairness(const run_log& log, double from, double until)
{
    std::vector<double> demanded(TraceTeams), delivered(TraceTeams);
    for (const auto& request : log.requests) {
        if (request.service || request.arrival < from || request.arrival >= until)
            continue;
        demanded[static_cast<std::size_t>(request.team)] += request.outputTokens;
        delivered[static_cast<std::size_t>(request.team)] += request.firstToken >= 0 ? request.outputTokens : 0;
    }
    double left = std::accumulate(delivered.begin(), delivered.end(), 0.0);
    auto sorted = demanded;
    std::sort(sorted.begin(), sorted.end());
    double level = sorted.back();
    for (std::size_t index = 0; index < sorted.size(); ++index) {
        const double equal = left / static_cast<double>(sorted.size() - index);
        if (sorted[index] > equal) {
            level = equal;
            break;
        }
        left -= sorted[index];
    }
    double sum = 0, squares = 0;
    for (std::size_t team = 0; team < delivered.size(); ++team) {
        const double fair = std::min(demanded[team], level);
        const double share = fair > 0 ? delivered[team] / fair : 1;
        sum += share;
        squares += share * share;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(delivered.size()) * squares) : 0;
}

double imbalance(const run_log& log)
{
    const double mean = std::accumulate(log.meanRunning.begin(), log.meanRunning.end(), 0.0)
        / static_cast<double>(log.meanRunning.size());
    return *std::max_element(log.meanRunning.begin(), log.meanRunning.end()) / mean;
}

double secondsToNormal(const run_log& log, double end, double goal)
{
    constexpr double Window = 2;
    int normal = 0;
    const double last = log.requests.empty() ? end : log.requests.back().arrival;
    for (double start = end; start + Window <= last; start += Window) {
        bool refused = false;
        for (const auto& request : log.requests)
            refused = refused || (request.refused && request.arrival >= start && request.arrival < start + Window);
        const bool good = !refused && quantile(firstTokenTimes(log, start, start + Window), 0.9) <= goal;
        normal = good ? normal + 1 : 0;
        if (normal == 3)
            return start - 2 * Window - end;
    }
    return -1;
}

} // namespace oriolepick
