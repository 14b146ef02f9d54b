/// \file
/// One JSON object a line: the output format of all benchmarks.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iostream>
#include <string>
#include <utility>

namespace oriolepick {

/// Prints one benchmark result.
/// \param figures measured values; \param units unit of each figure
inline void printResult(const std::string& name, std::uint64_t seed, nlohmann::ordered_json parameters,
    nlohmann::ordered_json figures, nlohmann::ordered_json units)
{
    nlohmann::ordered_json line;
    line["name"] = name;
    line["seed"] = seed;
    line["parameters"] = std::move(parameters);
    line["figures"] = std::move(figures);
    line["units"] = std::move(units);
    std::cout << line.dump() << '\n';
}

} // namespace oriolepick
