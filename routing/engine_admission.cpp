#include "routing/engine_admission.h"

#include "routing/engine_selection.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Largest part of an engine's memory that is kept for what its report does not show yet: other nodes' requests and
    /// growing copies. Engines hold about ten generations, so it is one of each.
    constexpr std::uint64_t ReserveDivisor = 5;

    // Generations that were sent there and hold no memory yet.
    std::uint32_t requestsBeforePrefill(const polled_engine& engine)
    {
        return engine.ownUnreported + (engine.report ? engine.report->queued : 0);
    }

} // namespace

std::uint64_t committedTokens(const polled_engine& engine, const generation_demand& demand)
{
    if (!engine.report)
        return 0;
    return engine.report->usedTokens + engine.report->admitted * demand.outputTokens
        + requestsBeforePrefill(engine) * demand.total();
}

std::chrono::milliseconds expectedTimeToFirstEvent(const polled_engine& engine, const generation_demand& demand)
{
    const auto ahead = requestsBeforePrefill(engine) + (engine.report ? engine.report->prefilling() : 0);
    return demand.prefillTime * (ahead + 1);
}

bool hasMemory(const polled_engine& engine, const generation_demand& demand)
{
    if (!engine.report || !engine.report->totalTokens)
        return true;
    const auto committed = committedTokens(engine, demand);
    const auto total = engine.report->totalTokens;
    const auto reserve = std::min(demand.total(), total / ReserveDivisor);
    return !committed || committed + demand.total() + reserve <= total;
}

bool canAdmit(const polled_engine& engine, const generation_demand& demand)
{
    if (!engine.report)
        return true;
    const auto& report = *engine.report;
    if (report.admitted + requestsBeforePrefill(engine) >= engine.target.slots)
        return false;
    // An engine that reads nothing is used even if the speed learned so far says that the event will be late: engines
    // may have recovered, and only prompts show it.
    const auto start = expectedTimeToFirstEvent(engine, demand);
    return hasMemory(engine, demand) && (start == demand.prefillTime || start <= demand.firstEventWithin);
}

} // namespace oriolepick
