#include "tool/ticket_filing.h"

#include "config/snapshot_json.h"
#include "config/ticket_json.h"
#include "core/ticket_validation.h"
#include "ports/ticket_store.h"
#include "tool/state_reader.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace oriolepick {

namespace {

    constexpr std::chrono::milliseconds PollEvery { 200 };
    constexpr std::chrono::milliseconds PauseAfterFailure { 250 }; // nine failures in a row take about 2 s
    // The pointer row is read at every 50th ticket only: a snapshot that is up to 50 tickets late costs nothing.
    constexpr ticket_number SnapshotCheckEvery = 50;

    struct node_progress {
        std::string address;
        ticket_number number = 0;
        std::string problem;
    };

    void readProgress(node_progress& node, const std::string& token, tool_environment& environment)
    {
        const auto text = environment.nodes.read(node.address, "status", token);
        if (!text) {
            node.problem = text.error().message;
            return;
        }
        const auto value = nlohmann::json::parse(text.value(), nullptr, false);
        if (!value.is_object() || !value.contains("ticket") || !value["ticket"].is_number_unsigned()) {
            node.problem = "the node's status holds no ticket number";
            return;
        }
        node.problem.clear();
        node.number = value["ticket"].get<ticket_number>();
    }

    /// \return whether all nodes reached the number in time
    bool waitForNodes(
        const filing_request& request, std::vector<node_progress>& nodes, bool json, tool_environment& environment)
    {
        std::string shown;
        std::chrono::milliseconds waited { 0 };
        for (;;) {
            std::size_t reached = 0;
            std::string line;
            for (auto& node : nodes) {
                if (node.number < request.change.number)
                    readProgress(node, request.token, environment);
                reached += node.number >= request.change.number ? 1 : 0;
                line += "  " + node.address + " " + (node.problem.empty() ? std::to_string(node.number) : node.problem);
            }
            if (!json && line != shown)
                environment.out << reached << " of " << nodes.size() << " nodes have ticket " << request.change.number
                                << " in force:" << line << std::endl;
            shown = line;
            if (reached == nodes.size())
                return true;
            if (waited >= request.timeout)
                return false;
            environment.sleep(PollEvery);
            waited += PollEvery;
        }
    }

    void writeSnapshotIfDue(ticket_number number, ticket_store& store, tool_environment& environment)
    {
        if (number % SnapshotCheckEvery)
            return;
        const auto head = store.readHead();
        const auto state = head ? readStateAt(store, std::nullopt) : head.error();
        const auto written = state
            ? store.compact(state.value()->number(), encodeSnapshot(*state.value()), head.value().epoch())
            : result<bool>(state.error());
        if (!written)
            environment.err << "warning: the snapshot was not written, a later ticket will: " << written.error().message
                            << "\n";
    }

    result<submission_report> submit(const ticket& change, ticket_store& store, tool_environment& environment)
    {
        return store.submit(
            change.number, encodeTicket(change),
            [&](ticket_number before) -> result<std::vector<field_error>> {
                const auto state = readStateAt(store, before);
                if (!state)
                    return state.error();
                return validate(change, *state.value());
            },
            [&] { environment.sleep(PauseAfterFailure); });
    }

} // namespace

exit_code fileTicket(const filing_request& request, ticket_store& store, bool json, tool_environment& environment)
{
    const auto number = request.change.number;
    const auto submitted = submit(request.change, store, environment);
    if (!submitted)
        return reportFailure(submitted.error(), json, environment);
    if (!json)
        environment.out << "ticket " << number << " is accepted"
                        << (submitted.value().acceptedEarlier ? " (it was before)" : "") << std::endl;
    writeSnapshotIfDue(number, store, environment);
    std::vector<node_progress> nodes;
    for (const auto& address : request.waitFor)
        nodes.push_back({ address });
    const bool everywhere = nodes.empty() || waitForNodes(request, nodes, json, environment);
    if (json) {
        auto progress = nlohmann::json::array();
        for (const auto& node : nodes)
            progress.push_back({ { "node", node.address }, { "number", node.number }, { "problem", node.problem } });
        environment.out << nlohmann::json { { "ticket", number }, { "accepted", true },
            { "accepted_earlier", submitted.value().acceptedEarlier }, { "nodes", progress },
            { "in_force_on_all", everywhere && !nodes.empty() } }
                               .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                        << "\n";
    }
    return everywhere ? exit_code::Success : exit_code::Failure;
}

} // namespace oriolepick
