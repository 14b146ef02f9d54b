/// \file
/// Selects an engine for a generation from a few engines that were polled for their load.
#pragma once

#include "routing/engine_report.h"
#include "routing/target_tracker.h"

#include <optional>
#include <vector>

namespace oriolepick {

/// An engine and the result of its load probe.
struct polled_engine {
    target_entry target;
    bool alive = false; ///< the engine responded in time
    std::optional<engine_report> report; ///< absent if the response could not be parsed
    std::uint32_t ownUnreported = 0; ///< requests of this node that are too recent to be in the report
};

/// Weights of the load score, in running requests.
struct load_score_settings {
    /// A prefill delays the first event by its whole duration and every event of the other generations by one chunk.
    double prefillWeight = 6;
    double queuedWeight = 10; ///< a queued request means that the engine has no free slot
    double memoryFullPenalty = 1'000; ///< the request would preempt another one, so the engine is a last resort
    /// An engine without a report ranks after all others, except those with full memory or a shutdown.
    double noReportPenalty = 100;
    double shutdownPenalty = 500; ///< the engine shuts down before the generation can end
    /// Duration of a typical generation; an engine that shuts down sooner would have to hand it over.
    std::chrono::milliseconds typicalGeneration { 6'000 };
};

/// \param tokens memory in tokens that the request holds at its end
/// \return the load that the request would meet; lower is better
double loadScore(const polled_engine& engine, std::uint64_t tokens, const load_score_settings& settings);

/// \return the index of the engine with the lowest score, or nothing if \p engines is empty
std::optional<std::size_t> chooseEngine(
    const std::vector<polled_engine>& engines, std::uint64_t tokens, const load_score_settings& settings);

} // namespace oriolepick
