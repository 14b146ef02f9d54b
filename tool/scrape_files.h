/// \file
/// Scrapes kept as files, one for each node and time: NODE-UNIXTIME.prom.
#pragma once

#include "core/error.h"
#include "tool/event_counts.h"

#include <string>
#include <vector>

namespace oriolepick {

inline constexpr std::size_t MaxScrapeFiles = 200'000;

/// \return the file's name; characters of \p node that cannot stand in one are replaced by '_'
std::string scrapeFileName(const std::string& node, wall_time at);

/// Writes one scrape. The file appears complete or not at all.
result<void> writeScrape(const std::string& directory, const std::string& node, wall_time at, const std::string& text);

/// Reads all scrapes of a directory. Files of other names are left out.
/// \param problems receives one line for each file that cannot be used, which counts as a missing scrape
/// \return BadRequest when the directory cannot be read or holds more than MaxScrapeFiles
result<std::vector<node_scrape>> readScrapes(const std::string& directory, std::vector<std::string>& problems);

} // namespace oriolepick
