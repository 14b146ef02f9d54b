#include "routing/engine_admission.h"

#include "routing/engine_selection.h"

#include <algorithm>
#include <utility>

namespace oriolepick {

namespace {

    /// Divisor of an engine's memory that limits the reserve for what its report does not show yet: requests of
    /// other nodes and growing copies. Engines hold about ten generations, so a fifth covers one of each.
    constexpr std::uint64_t ReserveDivisor = 5;

    // \return generations that were sent to the engine and hold no memory yet
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

polled_engine withoutLessUrgent(const polled_engine& engine, const generation_demand& demand)
{
    auto seen = engine;
    if (!engine.report || !demand.priority)
        return seen;
    auto report = *engine.report;
    report.runs.clear();
    for (const auto& run : engine.report->runs) {
        if (run.priority <= *demand.priority) {
            report.runs.push_back(run);
            continue;
        }
        report.admitted -= std::min(report.admitted, 1U);
        report.usedTokens -= std::min(report.usedTokens, run.tokens);
        report.queued = 0;
    }
    seen.report = std::move(report);
    return seen;
}

bool canAdmit(const polled_engine& engine, const generation_demand& demand)
{
    if (!engine.report)
        return true;
    const auto& report = *engine.report;
    if (report.admitted + requestsBeforePrefill(engine) >= engine.target.slots)
        return false;
    // An engine without prefills is used even if its estimated speed makes the event late: the engine may have
    // recovered, and only a new prefill shows this.
    const auto start = expectedTimeToFirstEvent(engine, demand);
    return hasMemory(engine, demand) && (start == demand.prefillTime || start <= demand.firstEventWithin);
}

} // namespace oriolepick
