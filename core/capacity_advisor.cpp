#include "core/capacity_advisor.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolepick {

namespace {

    double utilizationOf(const model_demand& demand)
    {
        const double capacity = demand.tokensPerWorker * demand.workers;
        if (capacity > 0)
            return demand.tokensPerSecond / capacity;
        return demand.tokensPerSecond > 0 ? 1 : 0;
    }

    std::uint32_t requiredWorkers(const model_demand& demand, const advisor_settings& settings)
    {
        if (demand.tokensPerSecond <= 0)
            return 0;
        if (demand.tokensPerWorker <= 0)
            return std::max(demand.workers, settings.minimumWorkers);
        const double needed = demand.tokensPerSecond / (demand.tokensPerWorker * settings.utilization);
        return std::max(static_cast<std::uint32_t>(std::ceil(needed)), settings.minimumWorkers);
    }

    std::string reasonFor(const capacity_advice& advice, std::uint32_t required)
    {
        if (advice.suggested < required)
            return absl::StrFormat("%d workers wanted, no more available", required);
        if (advice.suggested > advice.workers)
            return absl::StrFormat("utilization %.2f is too high", advice.utilization);
        if (advice.suggested < advice.workers)
            return absl::StrFormat("utilization %.2f leaves workers idle", advice.utilization);
        return "no change";
    }

} // namespace

std::vector<capacity_advice> adviseCapacity(
    const std::vector<model_demand>& demands, std::uint32_t spareWorkers, const advisor_settings& settings)
{
    std::vector<capacity_advice> advice;
    std::vector<std::uint32_t> required;
    std::uint32_t available = spareWorkers;
    for (const auto& demand : demands) {
        advice.push_back({ demand.model, demand.workers, demand.workers, utilizationOf(demand), {} });
        required.push_back(requiredWorkers(demand, settings));
        if (required.back() < demand.workers && advice.back().utilization < settings.scaleDownUtilization) {
            available += demand.workers - required.back();
            advice.back().suggested = required.back();
        }
    }
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(),
        [&](std::size_t left, std::size_t right) { return advice[left].utilization > advice[right].utilization; });
    for (const auto index : order) {
        if (required[index] <= advice[index].suggested)
            continue;
        const auto added = std::min(available, required[index] - advice[index].suggested);
        advice[index].suggested += added;
        available -= added;
    }
    for (std::size_t index = 0; index < advice.size(); ++index)
        advice[index].reason = reasonFor(advice[index], required[index]);
    return advice;
}

} // namespace oriolepick
