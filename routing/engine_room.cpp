#include "routing/engine_room.h"

#include "routing/engine_survey.h"

#include <algorithm>

namespace oriolepick {

namespace {

    /// Divisor of an engine's memory that limits the reserve for what its report does not show yet: requests of
    /// other nodes and growing copies. Engines hold about ten generations, so a fifth covers one of each.
    constexpr std::uint64_t ReserveShare = 5;

    // \return generations that were sent to the engine and hold no memory yet
    std::uint32_t unread(const surveyed_engine& engine)
    {
        return engine.ownUnreported + (engine.report ? engine.report->queued : 0);
    }

} // namespace

std::uint64_t committedTokens(const surveyed_engine& engine, const generation_need& need)
{
    if (!engine.report)
        return 0;
    return engine.report->usedTokens + engine.report->admitted * need.outputTokens + unread(engine) * need.total();
}

std::chrono::milliseconds expectedStart(const surveyed_engine& engine, const generation_need& need)
{
    const auto ahead = unread(engine) + (engine.report ? engine.report->prefilling() : 0);
    return need.reading * (ahead + 1);
}

bool hasMemory(const surveyed_engine& engine, const generation_need& need)
{
    if (!engine.report || !engine.report->totalTokens)
        return true;
    const auto committed = committedTokens(engine, need);
    const auto total = engine.report->totalTokens;
    const auto reserve = std::min(need.total(), total / ReserveShare);
    return !committed || committed + need.total() + reserve <= total;
}

bool hasRoom(const surveyed_engine& engine, const generation_need& need)
{
    if (!engine.report)
        return true;
    const auto& report = *engine.report;
    if (report.admitted + unread(engine) >= engine.target.slots)
        return false;
    // An engine without prefills is used even if its estimated speed makes the event late: the engine may have
    // recovered, and only a new prefill shows this.
    const auto start = expectedStart(engine, need);
    return hasMemory(engine, need) && (start == need.reading || start <= need.startsWithin);
}

} // namespace oriolepick
