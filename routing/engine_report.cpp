#include "routing/engine_report.h"

#include <algorithm>

namespace oriolepick {

std::uint32_t engine_report::prefilling() const
{
    return static_cast<std::uint32_t>(
        std::count_if(runs.begin(), runs.end(), [](const engine_run& run) { return !run.eventsMade; }));
}

bool engine_report::mayHold(std::string_view attempt) const
{
    return queued
        || std::any_of(runs.begin(), runs.end(), [attempt](const engine_run& run) { return run.attempt == attempt; });
}

} // namespace oriolepick
