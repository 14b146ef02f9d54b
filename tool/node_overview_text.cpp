#include "tool/node_overview.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>

namespace oriolepick {

namespace {

    using nlohmann::json;

    std::string stateOf(const node_report& node)
    {
        if (node.draining)
            return "draining";
        return node.ready ? "ready" : "not ready";
    }

    std::string nodeTable(const node_overview& overview)
    {
        std::string text = absl::StrFormat("%-16s %-22s %-12s %-10s %9s %8s %7s %9s %11s\n", "node", "address", "zone",
            "state", "ticket", "open", "leases", "suspected", "quarantined");
        for (const auto& node : overview.nodes) {
            if (!node.problem.empty()) {
                text += absl::StrFormat("%-16s %-22s %s\n", "?", node.address, node.problem);
                continue;
            }
            text += absl::StrFormat("%-16s %-22s %-12s %-10s %9d %8d %7d %9d %11d%s\n", node.name, node.address,
                node.zone, stateOf(node), node.ticket, node.openRequests, node.leases.size(), node.suspected,
                node.quarantined, node.ticket < overview.highestTicket ? "  behind" : "");
        }
        for (const auto& member : overview.notAsked)
            text += absl::StrFormat("%-16s %-22s %-12s %-10s (not asked; give its address with --node)\n", "?",
                member.peer, member.zone, member.state);
        return text;
    }

    json nodeJson(const node_report& node)
    {
        if (!node.problem.empty())
            return { { "address", node.address }, { "problem", node.problem } };
        return { { "address", node.address }, { "node", node.name }, { "zone", node.zone }, { "region", node.region },
            { "peer", node.peer }, { "ready", node.ready }, { "draining", node.draining }, { "ticket", node.ticket },
            { "open_requests", node.openRequests }, { "leases", node.leases }, { "suspected", node.suspected },
            { "quarantined", node.quarantined } };
    }

} // namespace

std::string overviewTable(const node_overview& overview)
{
    auto text = absl::StrFormat("ticket in force: %d to %d; open requests: %d\n\n", overview.lowestTicket,
        overview.highestTicket, overview.openRequests);
    text += nodeTable(overview);
    text += absl::StrFormat("\n%-16s %-16s %6s %6s %6s\n", "zone", "region", "ready", "known", "gone");
    for (const auto& [name, zone] : overview.zones)
        text += absl::StrFormat("%-16s %-16s %6d %6d %6d\n", name, zone.region, zone.ready, zone.known, zone.gone);
    text += absl::StrFormat("\n%-32s %-12s %s\n", "target", "zone", "state by number of nodes");
    for (const auto& [target, states] : overview.targets)
        text += absl::StrFormat("%-32s %-12s %s\n", target, overview.targetZones.at(target),
            absl::StrJoin(states, "; ", [](std::string* out, const auto& state) {
                absl::StrAppendFormat(out, "%s: %d", state.first, state.second);
            }));
    text += absl::StrFormat("\n%-32s %s\n", "lease of target group", "held by");
    for (const auto& [lease, holders] : overview.leases)
        text += absl::StrFormat(
            "%-32s %s%s\n", lease, absl::StrJoin(holders, ", "), holders.size() > 1 ? "  (several)" : "");
    return text;
}

std::string overviewJson(const node_overview& overview)
{
    json shown { { "highest_ticket", overview.highestTicket }, { "lowest_ticket", overview.lowestTicket },
        { "open_requests", overview.openRequests }, { "nodes", json::array() }, { "not_asked", json::array() },
        { "zones", json::array() }, { "targets", json::array() }, { "leases", overview.leases } };
    for (const auto& node : overview.nodes)
        shown["nodes"].push_back(nodeJson(node));
    for (const auto& member : overview.notAsked)
        shown["not_asked"].push_back({ { "peer", member.peer }, { "zone", member.zone }, { "region", member.region },
            { "state", member.state } });
    for (const auto& [name, zone] : overview.zones)
        shown["zones"].push_back({ { "zone", name }, { "region", zone.region }, { "ready", zone.ready },
            { "known", zone.known }, { "gone", zone.gone } });
    for (const auto& [target, states] : overview.targets)
        shown["targets"].push_back(
            { { "target", target }, { "zone", overview.targetZones.at(target) }, { "nodes_by_state", states } });
    return shown.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace oriolepick
