#include "tool/status_command.h"

#include "tool/node_overview.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <ostream>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds RefreshEvery { 2000 };
    constexpr const char* ClearScreen = "\x1b[H\x1b[2J";

    constexpr const char* Usage = R"(Shows nodes, zones, targets and leases as the nodes report them.

Usage:
  oriolepick status --node=ADDRESS... [--token-file=PATH] [--json] [--watch]
  oriolepick status (-h | --help)
  oriolepick status --version

Options:
  --node=ADDRESS     Ask this node (ip:port). Nodes that it knows and that are not asked are listed with the state
                     that it sees.
  --token-file=PATH  File with the operators' token; default: the variable ORIOLEPICK_TOKEN_FILE.
  --json             One JSON object, with --watch one line every 2 s.
  --watch            Refresh every 2 s until interrupted.

Exit codes: 0 all nodes answered, 1 one did not, 2 usage error.
)";

    node_overview askAll(
        const std::vector<std::string>& addresses, const std::string& token, tool_environment& environment)
    {
        std::vector<node_report> nodes;
        for (const auto& address : addresses) {
            const auto page = environment.nodes.read(address, "status", token);
            auto node = page ? parseNodeReport(address, page.value()) : result<node_report>(page.error());
            if (!node) {
                node_report failed;
                failed.address = address;
                failed.problem = node.error().message;
                node = std::move(failed);
            }
            nodes.push_back(std::move(node.value()));
        }
        return mergeReports(std::move(nodes));
    }

} // namespace

exit_code runStatusCommand(const std::vector<std::string>& arguments, tool_environment& environment)
{
    auto code = exit_code::Success;
    const auto parsed = parseArguments(Usage, arguments, environment, code);
    if (!parsed)
        return code;
    const bool json = parsed->at("--json").asBool();
    const bool watch = parsed->at("--watch").asBool();
    const auto token = readToken(*parsed, environment);
    if (!token)
        return reportFailure(token.error(), json, environment);
    while (true) {
        const auto overview = askAll(parsed->at("--node").asStringList(), token.value(), environment);
        if (watch && !json)
            environment.out << ClearScreen;
        environment.out << (json ? overviewJson(overview) + "\n" : overviewTable(overview)) << std::flush;
        const bool complete = std::all_of(
            overview.nodes.begin(), overview.nodes.end(), [](const node_report& node) { return node.problem.empty(); });
        code = complete ? exit_code::Success : exit_code::Failure;
        if (!watch)
            return code;
        environment.sleep(RefreshEvery);
        if (environment.interrupted())
            return code;
    }
}

} // namespace oriolepick
