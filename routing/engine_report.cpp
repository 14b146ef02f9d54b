#include "routing/engine_report.h"

#include <algorithm>

namespace oriolepick {

std::uint32_t engine_report::prefilling() const
{
    const auto started = static_cast<std::uint32_t>(
        std::count_if(runs.begin(), runs.end(), [](const engine_run& run) { return run.eventsMade > 0; }));
    return admitted - std::min(admitted, started);
}

bool engine_report::mayHold(std::string_view attempt) const
{
    return queued || prefilling()
        || std::any_of(runs.begin(), runs.end(), [attempt](const engine_run& run) { return run.attempt == attempt; });
}

} // namespace oriolepick
