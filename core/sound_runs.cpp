#include "core/sound_runs.h"

namespace oriolepick {

sound_runs::sound_runs(const sound_runs_settings& settings)
    : m_settings(settings)
{
}

void sound_runs::add(const std::vector<request_fingerprint>& parts, instant now)
{
    for (const auto part : parts) {
        auto& occurrence = m_occurrences[part];
        ++occurrence.runs;
        occurrence.last = now;
    }
    m_runs.push_back({ now, parts });
    forgetOld(now);
}

void sound_runs::forgetOld(instant now)
{
    while (!m_runs.empty() && (m_runs.size() > m_settings.maxRuns || now > m_runs.front().at + m_settings.window)) {
        for (const auto part : m_runs.front().parts) {
            const auto found = m_occurrences.find(part);
            if (!--found->second.runs)
                m_occurrences.erase(found);
        }
        m_runs.pop_front();
    }
}

run_share sound_runs::shareOf(request_fingerprint part, instant now)
{
    forgetOld(now);
    const auto found = m_occurrences.find(part);
    return { found == m_occurrences.end() ? 0 : found->second.runs, static_cast<std::uint32_t>(m_runs.size()) };
}

std::optional<instant> sound_runs::lastRunWith(request_fingerprint part) const
{
    const auto found = m_occurrences.find(part);
    return found == m_occurrences.end() ? std::nullopt : std::optional<instant>(found->second.last);
}

} // namespace oriolepick
