#include "tool/scrape_files.h"

#include "tool/command.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace oriolepick {

namespace {

    constexpr const char* Suffix = ".prom";

    bool fitsName(char symbol)
    {
        return symbol != '/' && symbol != '\0';
    }

    /// \return node and time of a file's name, or nothing
    std::optional<std::pair<std::string, wall_time>> parseName(const std::filesystem::path& path)
    {
        if (path.extension() != Suffix)
            return std::nullopt;
        const auto stem = path.stem().string();
        const auto dash = stem.rfind('-');
        constexpr std::int64_t LatestSeconds = 4'102'444'800; // year 2100; later times overflow nanoseconds soon
        std::int64_t seconds = 0;
        if (dash == std::string::npos || dash == 0 || !absl::SimpleAtoi(stem.substr(dash + 1), &seconds) || seconds < 0
            || seconds > LatestSeconds)
            return std::nullopt;
        return std::pair(stem.substr(0, dash), wall_time(std::chrono::seconds(seconds)));
    }

} // namespace

std::string scrapeFileName(const std::string& node, wall_time at)
{
    std::string name = node;
    std::replace_if(
        name.begin(), name.end(), [](char symbol) { return !fitsName(symbol); }, '_');
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(at.time_since_epoch()).count();
    return name + "-" + std::to_string(seconds) + Suffix;
}

result<void> writeScrape(const std::string& directory, const std::string& node, wall_time at, const std::string& text)
{
    const auto path = std::filesystem::path(directory) / scrapeFileName(node, at);
    auto partial = path;
    partial += ".partial";
    std::error_code failure;
    std::filesystem::create_directories(directory, failure);
    {
        std::ofstream file(partial, std::ios::binary);
        file << text;
        file.flush();
        if (!file)
            return error { error_kind::Internal, "file '" + partial.string() + "' cannot be written" };
    }
    std::filesystem::rename(partial, path, failure);
    if (failure)
        return error { error_kind::Internal, "file '" + path.string() + "' cannot be written: " + failure.message() };
    return success();
}

result<std::vector<node_scrape>> readScrapes(const std::string& directory, std::vector<std::string>& problems)
{
    std::error_code failure;
    std::vector<std::filesystem::path> paths;
    for (auto entry = std::filesystem::directory_iterator(directory, failure);
         !failure && entry != std::filesystem::directory_iterator(); entry.increment(failure)) {
        if (entry->path().extension() == Suffix)
            paths.push_back(entry->path());
        if (paths.size() > MaxScrapeFiles)
            return error { error_kind::BadRequest,
                "--scrapes: '" + directory + "' holds more than " + std::to_string(MaxScrapeFiles) + " scrapes" };
    }
    if (failure)
        return error { error_kind::BadRequest, "--scrapes: '" + directory + "' cannot be read: " + failure.message() };
    std::sort(paths.begin(), paths.end());
    std::vector<node_scrape> scrapes;
    for (const auto& path : paths) {
        const auto name = parseName(path);
        if (!name) {
            problems.push_back("file '" + path.string() + "' has no name of the form NODE-UNIXTIME.prom");
            continue;
        }
        const auto text = readFile(path.string(), MaxScrapeBytes);
        if (!text) {
            problems.push_back(text.error().message);
            continue;
        }
        const auto samples = parseMetricsText(text.value());
        if (samples)
            scrapes.push_back(summarizeScrape(name->first, name->second, samples.value()));
        else
            problems.push_back("file '" + path.string() + "': " + samples.error().message);
    }
    return scrapes;
}

} // namespace oriolepick
