#include "routing/engine_selection.h"

namespace oriolepick {

double loadScore(const polled_engine& engine, std::uint64_t tokens, const load_score_settings& settings)
{
    if (!engine.report)
        return settings.noReportPenalty + engine.ownUnreported;
    const auto& report = *engine.report;
    const auto prefilling = report.prefilling() + engine.ownUnreported;
    double score = report.admitted + settings.prefillWeight * prefilling + settings.queuedWeight * report.queued;
    const auto committed = report.usedTokens + engine.ownUnreported * tokens;
    if (report.totalTokens && committed + tokens > report.totalTokens)
        score += settings.memoryFullPenalty;
    if (report.timeToShutdown && *report.timeToShutdown < settings.typicalGeneration)
        score += settings.shutdownPenalty;
    return score;
}

std::optional<std::size_t> chooseEngine(
    const std::vector<polled_engine>& engines, std::uint64_t tokens, const load_score_settings& settings)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const double score = loadScore(engines[index], tokens, settings);
        if (!best || score < bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

} // namespace oriolepick
