/// \file
/// Chooses an engine for a generation among a few that were asked for their load.
#pragma once

#include "routing/engine_report.h"
#include "routing/target_tracker.h"

#include <optional>
#include <vector>

namespace oriolepick {

/// One engine that was asked.
struct polled_engine {
    target_entry target;
    bool alive = false; ///< it answered in time
    std::optional<engine_report> report; ///< nothing when its answer could not be read
    std::uint32_t ownUnreported = 0; ///< requests that this node sent there too recently to be reported
};

/// Weights of the parts of an engine's load, in running requests.
struct load_score_settings {
    /// A prompt that is being read delays the first event by its whole length and each event of all others by a chunk.
    double prefillWeight = 6;
    double queuedWeight = 10; ///< a waiting request means that there is no place
    double memoryFullPenalty = 1'000; ///< the request would preempt another one: only when nothing else is left
    double noReportPenalty = 100; ///< an engine that does not answer comes after all that do
    double shutdownPenalty = 500; ///< an engine that leaves before the generation can end
    /// A generation of the usual length; an engine that leaves sooner would have to hand it over.
    std::chrono::milliseconds typicalGeneration { 6'000 };
};

/// \param tokens memory that the request needs at its end
/// \return the load that the request would meet; less is better
double loadScore(const polled_engine& engine, std::uint64_t tokens, const load_score_settings& settings);

/// \return the index of the best engine, or nothing when \p engines is empty
std::optional<std::size_t> chooseEngine(
    const std::vector<polled_engine>& engines, std::uint64_t tokens, const load_score_settings& settings);

} // namespace oriolepick
