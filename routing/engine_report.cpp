#include "routing/engine_report.h"

#include <algorithm>

namespace oriolepick {

std::uint32_t engine_report::prefilling() const
{
    const auto generating = static_cast<std::uint32_t>(
        std::count_if(runs.begin(), runs.end(), [](const running_generation& run) { return run.eventsProduced > 0; }));
    return admitted - std::min(admitted, generating);
}

bool engine_report::mayContain(std::string_view attempt) const
{
    return queued || prefilling() || std::any_of(runs.begin(), runs.end(), [attempt](const running_generation& run) {
        return run.attempt == attempt;
    });
}

} // namespace oriolepick
