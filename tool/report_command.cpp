#include "tool/report_command.h"

#include "core/fleet_state.h"
#include "ports/ticket_store.h"
#include "tool/burn_html.h"
#include "tool/burn_report.h"
#include "tool/burn_text.h"
#include "tool/scrape_files.h"
#include "tool/state_reader.h"

#include <absl/strings/numbers.h>
#include <docopt/docopt.h>

#include <fstream>
#include <ostream>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds OperationTimeout { 5000 };

    constexpr const char* Usage = R"(Reports how fast service-level objectives use up their error budget.

Usage:
  oriolepick report burn (--scrapes=DIR | --node=ADDRESS...) [--interval=SECONDS] [--duration=SECONDS]
                         [--period=DAYS] [--platform=ADDRESS] [--objectives=ADDRESS] [--token-file=PATH]
                         [--json] [--html=FILE]
  oriolepick report scrape --scrapes=DIR --node=ADDRESS... [--interval=SECONDS] [--duration=SECONDS] [--json]
  oriolepick report (-h | --help)
  oriolepick report --version

Options:
  --scrapes=DIR         Directory of scrape files NODE-UNIXTIME.prom: burn reads it, scrape writes to it.
  --node=ADDRESS        Scrape this node (ip:port).
  --interval=SECONDS    Time between scrapes [default: 15].
  --duration=SECONDS    Time of scraping [default: 60].
  --period=DAYS         Time that the error budget covers [default: 30].
  --objectives=ADDRESS  Read the objectives in force from this node; needs the operators' token.
  --platform=ADDRESS    Read the objectives from the platform's tickets; default: the variable ORIOLEPICK_PLATFORM.
  --token-file=PATH     File with the operators' token; default: the variable ORIOLEPICK_TOKEN_FILE.
  --json                The report as one JSON object.
  --html=FILE           Write the report also as one HTML page.

Without tickets, or where none declares an objective, the built-in ones apply.

Exit codes: 0 success, 1 failure, 2 usage error.
)";

    using scrape_sink = std::function<result<void>(const std::string& node, wall_time at, const std::string& text)>;

    result<double> positiveNumber(const parsed_arguments& arguments, const std::string& name, double most)
    {
        const auto text = arguments.at(name).asString();
        double value = 0;
        if (!absl::SimpleAtod(text, &value) || !(value > 0) || value > most)
            return error { error_kind::BadRequest,
                name + ": '" + text + "' is not a number above 0 and up to "
                    + std::to_string(static_cast<long>(most)) };
        return value;
    }

    /// Scrapes all nodes again and again. A node that does not answer is a missing scrape.
    result<void> scrapeNodes(const parsed_arguments& arguments, tool_environment& environment, const scrape_sink& sink)
    {
        constexpr double LongestInterval = 3600;
        constexpr double LongestDuration = 31 * 86'400;
        const auto interval = positiveNumber(arguments, "--interval", LongestInterval);
        if (!interval)
            return interval.error();
        const auto duration = positiveNumber(arguments, "--duration", LongestDuration);
        if (!duration)
            return duration.error();
        const auto rounds = static_cast<long>(duration.value() / interval.value()) + 1;
        constexpr double MillisecondsPerSecond = 1000;
        const std::chrono::milliseconds pause(static_cast<long>(interval.value() * MillisecondsPerSecond));
        for (long round = 0; round < rounds && !environment.interrupted(); ++round) {
            if (round > 0)
                environment.sleep(pause);
            for (const auto& node : arguments.at("--node").asStringList()) {
                const auto text = environment.nodes.read(node, "/metrics", "");
                if (!text) {
                    environment.err << "warning: " << text.error().message << "\n";
                    continue;
                }
                const auto taken = sink(node, environment.now(), text.value());
                if (!taken)
                    return taken.error();
            }
        }
        return success();
    }

    result<std::vector<service_objective>> readObjectives(
        const parsed_arguments& arguments, tool_environment& environment)
    {
        if (const auto node = optionOr(arguments, "--objectives", nullptr, environment)) {
            const auto token = readToken(arguments, environment);
            if (!token)
                return token.error();
            const auto state = readNodeState(environment.nodes, *node, token.value());
            if (!state)
                return state.error();
            return declaredObjectives(state.value()->objects());
        }
        if (!optionOr(arguments, "--platform", "ORIOLEPICK_PLATFORM", environment))
            return std::vector<service_objective>();
        auto platform = connectPlatform(arguments, environment);
        if (!platform)
            return platform.error();
        const ticket_store store(*platform.value().table, *platform.value().objects, OperationTimeout);
        const auto state = readStateAt(store, std::nullopt);
        if (!state)
            return state.error();
        return declaredObjectives(state.value()->objects());
    }

    result<std::vector<node_scrape>> collect(const parsed_arguments& arguments, tool_environment& environment)
    {
        std::vector<node_scrape> scrapes;
        if (const auto directory = optionOr(arguments, "--scrapes", nullptr, environment)) {
            std::vector<std::string> problems;
            auto read = readScrapes(*directory, problems);
            for (const auto& problem : problems)
                environment.err << "warning: " << problem << "\n";
            return read;
        }
        const auto scraped = scrapeNodes(arguments, environment,
            [&](const std::string& node, wall_time at, const std::string& text) -> result<void> {
                const auto samples = parseMetricsText(text);
                if (samples)
                    scrapes.push_back(summarizeScrape(node, at, samples.value()));
                else
                    environment.err << "warning: node " << node << ": " << samples.error().message << "\n";
                return success();
            });
        if (!scraped)
            return scraped.error();
        return scrapes;
    }

    exit_code burn(const parsed_arguments& arguments, bool json, tool_environment& environment)
    {
        constexpr double LongestPeriodDays = 366;
        const auto days = positiveNumber(arguments, "--period", LongestPeriodDays);
        if (!days)
            return reportFailure(days.error(), json, environment);
        auto scrapes = collect(arguments, environment);
        if (!scrapes)
            return reportFailure(scrapes.error(), json, environment);
        if (scrapes.value().empty())
            return reportFailure({ error_kind::BadRequest, "there is no scrape that can be used" }, json, environment);
        auto declared = readObjectives(arguments, environment);
        if (!declared) {
            // Operators need the report most when the platform is down.
            environment.err << "warning: the built-in objectives are used: " << declared.error().message << "\n";
            declared = std::vector<service_objective>();
        }
        const auto period = std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::duration<double, std::ratio<86'400>>(days.value()));
        const auto report = calculateBurn(std::move(scrapes.value()), declared.value(), period);
        if (const auto path = optionOr(arguments, "--html", nullptr, environment)) {
            std::ofstream file(*path, std::ios::binary);
            file << burnHtml(report);
            file.flush();
            if (!file)
                return reportFailure(
                    { error_kind::Internal, "file '" + *path + "' cannot be written" }, json, environment);
        }
        environment.out << (json ? burnJson(report) + "\n" : burnTable(report));
        return exit_code::Success;
    }

    exit_code scrape(const parsed_arguments& arguments, bool json, tool_environment& environment)
    {
        std::size_t written = 0;
        const auto directory = arguments.at("--scrapes").asString();
        const auto scraped
            = scrapeNodes(arguments, environment, [&](const std::string& node, wall_time at, const std::string& text) {
                  ++written;
                  return writeScrape(directory, node, at, text);
              });
        if (!scraped)
            return reportFailure(scraped.error(), json, environment);
        if (json)
            environment.out << "{\"written\":" << written << "}\n";
        else
            environment.out << written << " scrapes written to " << directory << "\n";
        return written > 0 ? exit_code::Success : exit_code::Failure;
    }

} // namespace

exit_code runReportCommand(const std::vector<std::string>& arguments, tool_environment& environment)
{
    auto code = exit_code::Success;
    const auto parsed = parseArguments(Usage, arguments, environment, code);
    if (!parsed)
        return code;
    const bool json = parsed->at("--json").asBool();
    return parsed->at("burn").asBool() ? burn(*parsed, json, environment) : scrape(*parsed, json, environment);
}

} // namespace oriolepick
