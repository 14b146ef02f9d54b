#include "routing/engine_survey.h"

namespace oriolepick {

double surveyScore(const surveyed_engine& engine, std::uint64_t tokens, const survey_settings& settings)
{
    if (!engine.report)
        return settings.unknownReport + engine.ownUnreported;
    const auto& report = *engine.report;
    const auto prefilling = report.prefilling() + engine.ownUnreported;
    double score = report.admitted + settings.prefillWeight * prefilling + settings.queuedWeight * report.queued;
    const auto promised = report.usedTokens + engine.ownUnreported * tokens;
    if (report.totalTokens && promised + tokens > report.totalTokens)
        score += settings.fullMemory;
    if (report.leavesIn && *report.leavesIn < settings.usualGeneration)
        score += settings.leavingSoon;
    return score;
}

std::optional<std::size_t> chooseSurveyed(
    const std::vector<surveyed_engine>& engines, std::uint64_t tokens, const survey_settings& settings)
{
    std::optional<std::size_t> best;
    double bestScore = 0;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const double score = surveyScore(engines[index], tokens, settings);
        if (!best || score < bestScore) {
            best = index;
            bestScore = score;
        }
    }
    return best;
}

} // namespace oriolepick
