/// \file
/// Figures of one simulated run.
#pragma once

#include "core/request_priority.h"

#include <array>
#include <cstdint>
#include <vector>

namespace oriolepick {

/// The fate of one traced request.
struct request_record {
    double arrival = 0; ///< seconds from the start of the trace
    double firstToken = -1; ///< seconds, negative when never
    double queued = 0; ///< seconds from that offer to the dispatch
    double waited = 0; ///< seconds from the offer that was admitted to the first token
    int team = 0;
    request_priority priority = request_priority::Normal;
    bool service = false;
    bool refused = false; ///< final, after the caller's own retries
    std::uint32_t outputTokens = 0;
};

/// Raw measurements of a run.
struct run_log {
    std::vector<request_record> requests;
    std::vector<std::pair<double, std::uint32_t>> deliveries; ///< second and tokens, by step
    std::vector<std::pair<float, std::uint32_t>> gaps; ///< time between tokens in seconds and how often
    std::array<std::uint64_t, PriorityCount> refusals {}; ///< responses, also those retried later
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t repeatedTokens = 0; ///< prompt tokens computed that an engine had computed before
    std::uint64_t deliveredTokens = 0;
    std::vector<double> meanRunning; ///< by engine
    std::vector<double> resumes; ///< seconds from the loss of an engine to the next token of each of its streams
    std::uint64_t lostStreams = 0;
};

/// \return the \p share quantile, 0 for no values
double quantile(std::vector<double> values, double share);

/// \return times to first token of the generations that arrived in [from, until)
std::vector<double> firstTokenTimes(const run_log& log, double from, double until);

/// \return 95% quantile of the time between tokens in seconds
double gapQuantile95(const run_log& log);

/// \return delivered tokens per second in [from, until)
double goodput(const run_log& log, double from, double until);

/// \return Jain's index over the teams' delivered tokens in [from, until), each divided by its max-min fair part
double fairness(const run_log& log, double from, double until);

/// \return greatest share of an engine divided by the mean
double imbalance(const run_log& log);

/// \return seconds after \p end until three windows of 2 s in a row have no refusal and 90% of first tokens within the
///         goal; -1 when that does not happen
double secondsToNormal(const run_log& log, double end, double goal);

} // namespace oriolepick
