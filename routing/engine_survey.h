/// \file
/// Chooses an engine for a generation among a few that were asked for their load.
#pragma once

#include "routing/engine_report.h"
#include "routing/target_board.h"

#include <optional>
#include <vector>

namespace oriolepick {

/// One engine that was asked.
struct surveyed_engine {
    target_entry target;
    bool alive = false; ///< it answered in time
    std::optional<engine_report> report; ///< nothing when its answer could not be read
    std::uint32_t ownUnreported = 0; ///< requests that this node sent there too recently to be reported
};

/// Weights of the parts of an engine's load, in running requests.
struct survey_settings {
    /// A prompt that is being read delays the first event by its whole length and each event of all others by a chunk.
    double prefillWeight = 6;
    double queuedWeight = 10; ///< a waiting request means that there is no place
    double fullMemory = 1'000; ///< the request would preempt another one: only when nothing else is left
    double unknownReport = 100; ///< an engine that does not answer comes after all that do
    double leavingSoon = 500; ///< an engine that leaves before the generation can end
    /// A generation of the usual length; an engine that leaves sooner would have to hand it over.
    std::chrono::milliseconds usualGeneration { 6'000 };
};

/// \param tokens memory that the request needs at its end
/// \return the load that the request would meet; less is better
double surveyScore(const surveyed_engine& engine, std::uint64_t tokens, const survey_settings& settings);

/// \return the index of the best engine, or nothing when \p engines is empty
std::optional<std::size_t> chooseSurveyed(
    const std::vector<surveyed_engine>& engines, std::uint64_t tokens, const survey_settings& settings);

} // namespace oriolepick
