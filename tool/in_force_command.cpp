#include "tool/in_force_command.h"

#include "config/snapshot_json.h"
#include "core/ticket_log.h"
#include "ports/ticket_store.h"
#include "tool/state_reader.h"

#include <docopt/docopt.h>

#include <ostream>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds OperationTimeout { 5000 };

    constexpr const char* Usage = R"(Reads back the state in force.

Usage:
  oriolepick in-force [--at=NUMBER] [--platform=ADDRESS] [--json]
  oriolepick in-force --node=ADDRESS [--token-file=PATH] [--json]
  oriolepick in-force (-h | --help)
  oriolepick in-force --version

Options:
  --at=NUMBER         The state after this ticket instead of after the last one.
  --node=ADDRESS      Ask this node (ip:port) instead of folding the platform's tickets.
  --platform=ADDRESS  The platform (ip:port); default: the variable ORIOLEPICK_PLATFORM.
  --token-file=PATH   File with the operators' token; default: the variable ORIOLEPICK_TOKEN_FILE.
  --json              The complete state as one JSON object.

Exit codes: 0 success, 1 failure, 2 usage error.
)";

    exit_code show(const fleet_state& state, bool json, tool_environment& environment)
    {
        if (json) {
            environment.out << encodeSnapshot(state) << "\n";
            return exit_code::Success;
        }
        environment.out << "number in force: " << state.number() << "\n";
        for (const auto& object : state.objects())
            environment.out << object.key.text() << "\n";
        for (const auto& [id, entry] : state.retired())
            environment.out << "retired deployment " << id.text() << " by ticket " << entry->deletingTicket << "\n";
        return exit_code::Success;
    }

    result<std::shared_ptr<const fleet_state>> readNode(
        const std::string& address, const parsed_arguments& arguments, tool_environment& environment)
    {
        const auto token = readToken(arguments, environment);
        if (!token)
            return token.error();
        return readNodeState(environment.nodes, address, token.value());
    }

    result<std::shared_ptr<const fleet_state>> readPlatform(
        const parsed_arguments& arguments, tool_environment& environment)
    {
        std::optional<ticket_number> at;
        if (const auto text = optionOr(arguments, "--at", nullptr, environment)) {
            at = parseTicketNumber(*text);
            if (!at)
                return error { error_kind::BadRequest, "--at: '" + *text + "' is not a ticket number" };
        }
        auto platform = connectPlatform(arguments, environment);
        if (!platform)
            return platform.error();
        const ticket_store store(*platform.value().table, *platform.value().objects, OperationTimeout);
        return readStateAt(store, at);
    }

} // namespace

exit_code runInForceCommand(const std::vector<std::string>& arguments, tool_environment& environment)
{
    auto code = exit_code::Success;
    const auto parsed = parseArguments(Usage, arguments, environment, code);
    if (!parsed)
        return code;
    const bool json = parsed->at("--json").asBool();
    const auto node = optionOr(*parsed, "--node", nullptr, environment);
    const auto state = node ? readNode(*node, *parsed, environment) : readPlatform(*parsed, environment);
    if (!state)
        return reportFailure(state.error(), json, environment);
    return show(*state.value(), json, environment);
}

} // namespace oriolepick
