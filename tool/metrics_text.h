/// \file
/// Checked parser of the Prometheus text format.
#pragma once

#include "core/error.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace oriolepick {

/// One value of one series.
struct metric_sample {
    std::string name;
    std::map<std::string, std::string> labels;
    double value = 0;
};

inline constexpr std::size_t MaxScrapeBytes = 16U << 20U;
inline constexpr std::size_t MaxScrapeSamples = 200'000;
inline constexpr std::size_t MaxMetricLineBytes = 8192;
inline constexpr std::size_t MaxMetricLabels = 16;

/// Parses one scrape. Comments and timestamps are skipped.
/// \return the samples in order; BodyTooLarge above a limit; BadRequest with the line and the fault otherwise
result<std::vector<metric_sample>> parseMetricsText(std::string_view text);

} // namespace oriolepick
