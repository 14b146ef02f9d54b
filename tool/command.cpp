#include "tool/command.h"

#include "tool/in_force_command.h"
#include "tool/report_command.h"
#include "tool/status_command.h"
#include "tool/ticket_command.h"
#include "tool/trace_command.h"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <array>
#include <fstream>
#include <iterator>
#include <ostream>

namespace oriolepick {

namespace {

    constexpr const char* Version = "oriolepick 0.1.0";
    constexpr std::size_t MaxTokenBytes = 4096;

    constexpr const char* Usage
        = R"(Operates Oriolepick: files change tickets, reads back the state in force and reports on nodes.

Usage:
  oriolepick ticket (check|file|status|show|diff|log|schema) [<arguments>...]
  oriolepick in-force [<arguments>...]
  oriolepick report (burn|scrape) [<arguments>...]
  oriolepick status [<arguments>...]
  oriolepick trace [<arguments>...]
  oriolepick --help
  oriolepick --version

`oriolepick ticket --help` and the like explain the arguments.

Exit codes: 0 success, 1 failure, 2 usage error.
)";

    struct command_group {
        const char* name;
        exit_code (*run)(const std::vector<std::string>& arguments, tool_environment& environment);
    };

    constexpr std::array<command_group, 5> Groups { {
        { "ticket", runTicketCommand },
        { "in-force", runInForceCommand },
        { "report", runReportCommand },
        { "status", runStatusCommand },
        { "trace", runTraceCommand },
    } };

} // namespace

std::optional<parsed_arguments> parseArguments(
    const char* usage, const std::vector<std::string>& arguments, tool_environment& environment, exit_code& code)
{
    code = exit_code::Success;
    try {
        return docopt::docopt_parse(usage, arguments, true, true);
    } catch (const docopt::DocoptExitHelp&) {
        environment.out << usage;
    } catch (const docopt::DocoptExitVersion&) {
        environment.out << Version << "\n";
    } catch (const docopt::DocoptArgumentError& failure) {
        environment.err << failure.what() << "\n" << usage;
        code = exit_code::Usage;
    }
    return std::nullopt;
}

std::optional<std::string> optionOr(const parsed_arguments& arguments, const std::string& name, const char* variable,
    const tool_environment& environment)
{
    if (const auto found = arguments.find(name); found != arguments.end() && found->second)
        return found->second.asString();
    return variable ? environment.variable(variable) : std::nullopt;
}

result<std::string> readFile(const std::string& path, std::size_t mostBytes)
{
    std::ifstream file(path, std::ios::binary);
    std::string text;
    std::array<char, 4096> block {};
    while (file && text.size() <= mostBytes) {
        file.read(block.data(), block.size());
        text.append(block.data(), static_cast<std::size_t>(file.gcount()));
    }
    if (!file.eof() && text.size() <= mostBytes)
        return error { error_kind::BadRequest, "file '" + path + "' cannot be read" };
    if (text.size() > mostBytes)
        return error { error_kind::BodyTooLarge,
            "file '" + path + "' is larger than " + std::to_string(mostBytes) + " bytes" };
    return text;
}

result<std::string> readToken(const parsed_arguments& arguments, const tool_environment& environment)
{
    const auto path = optionOr(arguments, "--token-file", "ORIOLEPICK_TOKEN_FILE", environment);
    if (!path)
        return std::string();
    auto text = readFile(*path, MaxTokenBytes);
    if (text) {
        const auto last = text.value().find_last_not_of("\r\n ");
        text.value().resize(last == std::string::npos ? 0 : last + 1);
    }
    return text;
}

result<platform_connection> connectPlatform(const parsed_arguments& arguments, const tool_environment& environment)
{
    const auto address = optionOr(arguments, "--platform", "ORIOLEPICK_PLATFORM", environment);
    if (!address)
        return error { error_kind::BadRequest, "--platform or ORIOLEPICK_PLATFORM is needed" };
    return environment.connect(*address);
}

exit_code reportFailure(const error& failure, bool json, tool_environment& environment)
{
    const auto& answer = errorResponseFor(failure.kind);
    if (json) {
        const nlohmann::json shown { { "error",
            { { "code", std::string(answer.code) }, { "message", failure.message },
                { "retryable", answer.retryable } } } };
        environment.out << shown.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    } else
        environment.err << "error: " << answer.code << ": " << failure.message << "\n";
    return exit_code::Failure;
}

exit_code runTool(const std::vector<std::string>& arguments, tool_environment& environment)
{
    for (const auto& group : Groups) {
        if (!arguments.empty() && arguments.front() == group.name)
            return group.run(arguments, environment);
    }
    auto code = exit_code::Success;
    if (parseArguments(Usage, arguments, environment, code))
        code = exit_code::Usage;
    return code;
}

} // namespace oriolepick
