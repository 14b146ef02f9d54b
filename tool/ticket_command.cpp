#include "tool/ticket_command.h"

#include "config/ticket_json.h"
#include "config/ticket_schema.h"
#include "core/fleet_state.h"
#include "core/ticket_log.h"
#include "core/ticket_validation.h"
#include "ports/ticket_store.h"
#include "tool/state_reader.h"
#include "tool/ticket_diff.h"
#include "tool/ticket_filing.h"

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <array>
#include <ostream>

namespace oriolepick {

namespace {

    using nlohmann::json;

    constexpr std::chrono::milliseconds OperationTimeout { 5000 };

    constexpr const char* Usage = R"(Checks, files and reads back change tickets.

Usage:
  oriolepick ticket check [--platform=ADDRESS] [--json] <file>...
  oriolepick ticket file [--platform=ADDRESS] [--wait] [--node=ADDRESS]... [--timeout=SECONDS] [--token-file=PATH] [--json] <file>
  oriolepick ticket status [--platform=ADDRESS] [--json] <number>
  oriolepick ticket show [--platform=ADDRESS] [--json] <number>
  oriolepick ticket diff [--platform=ADDRESS] [--json] <number>
  oriolepick ticket log [--platform=ADDRESS] [--last=COUNT] [--json]
  oriolepick ticket schema [--json]
  oriolepick ticket (-h | --help)
  oriolepick ticket --version

check validates files in the given order, each on top of those before it; without --platform the first starts from
the empty state. schema prints the JSON schema of tickets. file submits a ticket; submitting the same ticket again is safe. diff shows what a ticket changed.

Options:
  --platform=ADDRESS  The platform (ip:port); default, but not for check: the variable ORIOLEPICK_PLATFORM.
  --wait              Wait until every node given by --node has the ticket in force.
  --node=ADDRESS      A node (ip:port) to wait for.
  --timeout=SECONDS   How long to wait [default: 60].
  --token-file=PATH   File with the operators' token; default: the variable ORIOLEPICK_TOKEN_FILE.
  --last=COUNT        Number of tickets to list [default: 20].
  --json              One JSON object on the output.

Exit codes: 0 success, 1 failure, 2 usage error.
)";

    /// One run of a subcommand.
    class ticket_run {
    public:
        ticket_run(const parsed_arguments& arguments, tool_environment& environment)
            : m_arguments(arguments)
            , m_environment(environment)
            , m_json(arguments.at("--json").asBool())
        {
        }

        exit_code check();
        exit_code file();
        exit_code status();
        exit_code show();
        exit_code diff();
        exit_code log();
        exit_code schema();

    private:
        exit_code fail(const error& failure) { return reportFailure(failure, m_json, m_environment); }
        void print(const json& value)
        {
            m_environment.out << value.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
        }
        /// Runs \p action with the store and the number argument.
        template <typename Action> exit_code withNumber(Action&& action);
        result<std::shared_ptr<const fleet_state>> startOfCheck();
        static result<ticket> readTicketFile(const std::string& path);

        const parsed_arguments& m_arguments;
        tool_environment& m_environment;
        bool m_json;
    };

    result<ticket> ticket_run::readTicketFile(const std::string& path)
    {
        const auto text = readFile(path, MaxTicketBytes);
        if (!text)
            return text.error();
        auto parsed = parseTicket(text.value());
        if (!parsed.value)
            return error { error_kind::TicketInvalid, path + ": " + toString(parsed.errors) };
        return std::move(*parsed.value);
    }

    result<std::shared_ptr<const fleet_state>> ticket_run::startOfCheck()
    {
        if (!m_arguments.at("--platform"))
            return std::shared_ptr<const fleet_state>(std::make_shared<fleet_state>());
        auto platform = connectPlatform(m_arguments, m_environment);
        if (!platform)
            return platform.error();
        const ticket_store store(*platform.value().table, *platform.value().objects, OperationTimeout);
        return readStateAt(store, std::nullopt);
    }

    exit_code ticket_run::check()
    {
        const auto start = startOfCheck();
        if (!start)
            return fail(start.error());
        auto state = start.value();
        auto checked = json::array();
        for (const auto& path : m_arguments.at("<file>").asStringList()) {
            const auto change = readTicketFile(path);
            if (!change)
                return fail(change.error());
            if (change.value().number != state->number() + 1)
                return fail({ error_kind::TicketNumberGap,
                    path + ": ticket " + std::to_string(change.value().number) + ": the next number is "
                        + std::to_string(state->number() + 1) });
            const auto errors = validate(change.value(), *state);
            if (!errors.empty())
                return fail({ error_kind::TicketInvalid, path + ": " + toString(errors) });
            state = state->after({ change.value() });
            checked.push_back({ { "file", path }, { "ticket", state->number() } });
            if (!m_json)
                m_environment.out << path << ": ticket " << state->number() << " is valid\n";
        }
        if (m_json)
            print({ { "valid", checked } });
        return exit_code::Success;
    }

    exit_code ticket_run::file()
    {
        filing_request request;
        const auto change = readTicketFile(m_arguments.at("<file>").asStringList().front());
        if (!change)
            return fail(change.error());
        request.change = change.value();
        const auto token = readToken(m_arguments, m_environment);
        if (!token)
            return fail(token.error());
        request.token = token.value();
        if (m_arguments.at("--wait").asBool())
            request.waitFor = m_arguments.at("--node").asStringList();
        const auto seconds = parseTicketNumber(m_arguments.at("--timeout").asString());
        constexpr ticket_number LongestWaitSeconds = 86'400;
        if (!seconds || *seconds > LongestWaitSeconds) {
            m_environment.err << "--timeout: not a number of seconds from 0 to 86400\n";
            return exit_code::Usage;
        }
        request.timeout = std::chrono::seconds(*seconds);
        if (m_arguments.at("--wait").asBool() && request.waitFor.empty()) {
            m_environment.err << "--wait needs at least one --node\n";
            return exit_code::Usage;
        }
        auto platform = connectPlatform(m_arguments, m_environment);
        if (!platform)
            return fail(platform.error());
        ticket_store store(*platform.value().table, *platform.value().objects, OperationTimeout);
        return fileTicket(request, store, m_json, m_environment);
    }

    template <typename Action> exit_code ticket_run::withNumber(Action&& action)
    {
        const auto text = m_arguments.at("<number>").asString();
        const auto number = parseTicketNumber(text);
        if (!number || !*number) {
            m_environment.err << "'" << text << "' is not a ticket number\n";
            return exit_code::Usage;
        }
        auto platform = connectPlatform(m_arguments, m_environment);
        if (!platform)
            return fail(platform.error());
        const ticket_store store(*platform.value().table, *platform.value().objects, OperationTimeout);
        return action(store, *number);
    }

    exit_code ticket_run::status()
    {
        return withNumber([&](const ticket_store& store, ticket_number number) {
            const auto head = store.readHead();
            if (!head)
                return fail(head.error());
            const bool accepted = number <= head.value().number();
            if (m_json)
                print({ { "ticket", number }, { "accepted", accepted }, { "last_accepted", head.value().number() } });
            else
                m_environment.out << "ticket " << number << (accepted ? " is accepted" : " is not accepted")
                                  << "; the next number is " << head.value().number() + 1 << "\n";
            return accepted ? exit_code::Success : exit_code::Failure;
        });
    }

    exit_code ticket_run::show()
    {
        return withNumber([&](const ticket_store& store, ticket_number number) {
            const auto text = store.readTicket(number);
            if (!text)
                return fail(text.error());
            if (!text.value())
                return fail({ error_kind::BadRequest,
                    "ticket " + std::to_string(number) + " is not accepted or is compacted" });
            const auto value = json::parse(*text.value(), nullptr, false);
            if (value.is_discarded())
                return fail({ error_kind::Internal, "the stored ticket is not JSON" });
            m_environment.out << (m_json ? *text.value() : value.dump(2)) << "\n";
            return exit_code::Success;
        });
    }

    exit_code ticket_run::diff()
    {
        return withNumber([&](const ticket_store& store, ticket_number number) {
            const auto text = store.readTicket(number);
            if (!text)
                return fail(text.error());
            const auto parsed = text.value() ? parseTicket(*text.value()) : checked_parse<ticket> {};
            if (!parsed.value)
                return fail({ error_kind::BadRequest,
                    "ticket " + std::to_string(number) + " is not accepted or is compacted" });
            const auto before = readStateAt(store, number - 1);
            if (!before)
                return fail(before.error());
            auto shown = json::array();
            for (const auto& change : changesOf(*parsed.value, *before.value())) {
                shown.push_back({ { "object", change.object.text() }, { "field", change.field },
                    { "before", change.before }, { "after", change.after } });
                if (!m_json)
                    m_environment.out << change.object.text() << " " << change.field << ": "
                                      << (change.before.empty() ? "(absent)" : change.before) << " -> "
                                      << (change.after.empty() ? "(absent)" : change.after) << "\n";
            }
            if (m_json)
                print({ { "ticket", number }, { "changes", shown } });
            return exit_code::Success;
        });
    }

    exit_code ticket_run::log()
    {
        const auto last = parseTicketNumber(m_arguments.at("--last").asString());
        if (!last) {
            m_environment.err << "--last: not a number\n";
            return exit_code::Usage;
        }
        auto platform = connectPlatform(m_arguments, m_environment);
        if (!platform)
            return fail(platform.error());
        const ticket_store store(*platform.value().table, *platform.value().objects, OperationTimeout);
        const auto head = store.readHead();
        if (!head)
            return fail(head.error());
        auto listed = json::array();
        for (auto number = head.value().number() > *last ? head.value().number() - *last + 1 : 1;
             number <= head.value().number(); ++number) {
            const auto text = store.readTicket(number);
            if (!text)
                return fail(text.error());
            const auto parsed = text.value() ? parseTicket(*text.value()) : checked_parse<ticket> {};
            if (!parsed.value)
                continue; // compacted
            const auto& change = *parsed.value;
            listed.push_back({ { "ticket", number }, { "operator", change.operatorName }, { "note", change.note },
                { "objects", change.objects.size() } });
            if (!m_json)
                m_environment.out << number << "\t" << change.operatorName << "\t" << change.objects.size()
                                  << " objects\t" << change.note << "\n";
        }
        if (m_json)
            print({ { "last_accepted", head.value().number() }, { "tickets", listed } });
        return exit_code::Success;
    }

    exit_code ticket_run::schema()
    {
        m_environment.out << ticketSchema();
        return exit_code::Success;
    }

    struct subcommand {
        const char* name;
        exit_code (ticket_run::*run)();
    };

    constexpr std::array<subcommand, 7> Subcommands { {
        { "check", &ticket_run::check },
        { "file", &ticket_run::file },
        { "status", &ticket_run::status },
        { "show", &ticket_run::show },
        { "diff", &ticket_run::diff },
        { "log", &ticket_run::log },
        { "schema", &ticket_run::schema },
    } };

} // namespace

exit_code runTicketCommand(const std::vector<std::string>& arguments, tool_environment& environment)
{
    auto code = exit_code::Success;
    const auto parsed = parseArguments(Usage, arguments, environment, code);
    if (!parsed)
        return code;
    for (const auto& candidate : Subcommands) {
        if (parsed->at(candidate.name).asBool()) {
            ticket_run run(*parsed, environment);
            return (run.*candidate.run)();
        }
    }
    return exit_code::Usage;
}

} // namespace oriolepick
