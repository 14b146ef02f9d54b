// Control bytes per node and second: messages of the real state machines in virtual time, sized by a compact binary
// encoding (varints, strings with a length byte). Usage: bench_control_traffic [seed]
#include "bench/json_line.h"
#include "core/grant_owner.h"
#include "core/membership.h"
#include "core/team_limiter.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t DatagramHeaders = 28; // IPv4 and UDP
constexpr std::size_t EnvelopeBytes = 1 + 8 + 4; // kind, incarnation, ticket number
constexpr std::size_t NumberBytes = 4; // typical varint of a sequence or rate
constexpr std::size_t LoadPollBytes = 40; // answer of a polled target, design page 3.5
constexpr int Seconds = 120;

std::size_t bytesOf(const std::string& text)
{
    return 1 + text.size();
}

std::size_t bytesOf(const member_update& update)
{
    return bytesOf(update.node.value()) + bytesOf(update.zone.value()) + bytesOf(update.region.value()) + 1 + 8;
}

std::size_t bytesOf(const membership_message& message)
{
    std::size_t bytes = DatagramHeaders + EnvelopeBytes + bytesOf(message.sender) + 1;
    for (const auto& update : message.updates)
        bytes += bytesOf(update);
    if (const auto* ack = std::get_if<ack_message>(&message.body))
        return bytes + NumberBytes + bytesOf(ack->subject.value());
    if (const auto* request = std::get_if<ping_request_message>(&message.body))
        return bytes + NumberBytes + bytesOf(request->subject.value());
    if (const auto* sync = std::get_if<sync_request_message>(&message.body))
        return bytes + bytesOf(sync->after.value());
    if (const auto* page = std::get_if<sync_page_message>(&message.body))
        return bytes + bytesOf(page->last.value()) + 1;
    return bytes + NumberBytes;
}

std::size_t bytesOfReport(const team_id& team)
{
    return bytesOf(team.text()) + 2 * NumberBytes;
}

const std::array<const char*, 5> BodyNames { "ping", "ack", "ping_request", "sync_request", "sync_page" };

struct traffic {
    std::map<std::string, double> bytes; // sent, by message type
    std::map<std::string, double> count;
    double total = 0;

    void add(const std::string& type, std::size_t size)
    {
        bytes[type] += static_cast<double>(size);
        ++count[type];
        total += static_cast<double>(size);
    }
};

node_id address(std::size_t number)
{
    return node_id("10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":7400");
}

// Steady membership with one restart a minute, 0.5 to 2 ms between nodes.
void runMembership(std::size_t nodes, std::uint64_t seed, traffic& out)
{
    seeded_random random(seed);
    std::map<node_id, std::unique_ptr<membership>> states;
    std::multimap<instant, std::pair<node_id, membership_message>> inFlight;
    instant now;
    bool counting = false;
    const auto perform = [&](const std::vector<membership_action>& actions) {
        for (const auto& action : actions) {
            const auto* send = std::get_if<send_membership_message>(&action);
            if (!send)
                continue;
            if (counting)
                out.add(BodyNames[send->message.body.index()], bytesOf(send->message));
            inFlight.emplace(now + milliseconds(1), std::pair(send->to, send->message));
        }
    };
    std::uint64_t incarnation = 1;
    const auto start = [&](std::size_t number) {
        const member_update self { address(number), availability_zone("zone-" + std::to_string(number % 4)),
            region_name("region-1"), member_state::Alive, incarnation++ };
        states[self.node]
            = std::make_unique<membership>(self, membership_settings {}, seeded_random(random.next()), now);
        perform(states[self.node]->join({ address(0), address(1), address(2) }, now));
    };
    for (std::size_t number = 0; number < nodes; ++number)
        start(number);
    const instant begin = now + std::chrono::seconds(60);
    const instant end = begin + std::chrono::seconds(Seconds);
    for (int step = 0; now < end; ++step) {
        now += milliseconds(50);
        counting = now >= begin;
        if (step % 1200 == 1199)
            start(random.below(nodes));
        while (!inFlight.empty() && inFlight.begin()->first <= now) {
            const auto [to, message] = inFlight.begin()->second;
            inFlight.erase(inFlight.begin());
            perform(states.at(to)->receive(message, now));
        }
        for (const auto& [id, state] : states)
            perform(state->tick(now));
    }
}

// Every team has callers on every node that a load balancer gives it: at most the node's requests per second.
void runGrants(std::size_t nodes, std::size_t teams, double requestsPerNode, std::uint64_t seed, traffic& out)
{
    seeded_random random(seed);
    std::vector<node_id> ids;
    std::vector<team_id> names;
    for (std::size_t number = 0; number < nodes; ++number)
        ids.push_back(address(number));
    for (std::size_t number = 0; number < teams; ++number)
        names.emplace_back(fleet_name("atelier"), "team-" + std::to_string(number));
    std::map<node_id, std::unique_ptr<team_limiter>> limiters;
    std::map<node_id, std::unique_ptr<grant_owner>> owners;
    for (const auto& id : ids) {
        limiters[id] = std::make_unique<team_limiter>();
        owners[id] = std::make_unique<grant_owner>(id);
        for (const auto& team : names) {
            limiters[id]->setLimit(team, { 100'000, 0.1 }, instant());
            owners[id]->setLimit(team, { 100'000, 0.1 }, instant());
        }
        limiters[id]->setNodeCount(static_cast<std::uint32_t>(nodes), instant());
        owners[id]->setNodes(ids, instant());
    }
    for (int step = 0; step < Seconds * 10; ++step) {
        const instant now(milliseconds(step * 100));
        for (const auto& id : ids) {
            const double expected = requestsPerNode / 10;
            auto requests = static_cast<int>(expected);
            requests += random.unit() < expected - requests ? 1 : 0;
            for (int count = 0; count < requests; ++count) {
                // The square prefers few large teams.
                const auto team = static_cast<std::size_t>(random.unit() * random.unit() * static_cast<double>(teams));
                if (!limiters[id]->admit(names[team], 500, now))
                    out.count["refused"] += 1;
            }
            // The reports of one moment to one owner share a message, and so do its grants.
            std::map<node_id, std::pair<std::size_t, std::size_t>> messages;
            for (const auto& report : limiters[id]->dueReports(now)) {
                const auto owner = grantOwnerOf(report.team, ids);
                if (owner == id) { // the owner's own report stays in the process
                    if (const auto grant = owners[owner]->answer(id, report, now))
                        limiters[id]->applyGrant(*grant, now);
                    continue;
                }
                auto& [reports, grants] = messages[owner];
                reports += bytesOfReport(report.team);
                if (const auto grant = owners[owner]->answer(id, report, now)) {
                    grants += bytesOfReport(report.team) + NumberBytes;
                    limiters[id]->applyGrant(*grant, now);
                }
            }
            for (const auto& [owner, sizes] : messages) {
                out.add("demand_report", DatagramHeaders + EnvelopeBytes + sizes.first);
                if (sizes.second)
                    out.add("grant", DatagramHeaders + EnvelopeBytes + sizes.second);
            }
        }
    }
}

double run(std::size_t nodes, std::size_t workers, std::size_t teams, std::uint64_t seed, bool print)
{
    traffic sent;
    runMembership(nodes, seed, sent);
    runGrants(nodes, teams, 20, seed, sent);
    const double perNode = static_cast<double>(nodes) * Seconds;
    nlohmann::ordered_json figures, units;
    for (const auto& [type, bytes] : sent.bytes) {
        figures[type + "_bytes_per_s"] = bytes / perNode;
        figures[type + "_mean_size"] = bytes / sent.count[type];
        units[type + "_bytes_per_s"] = "B/s per node";
        units[type + "_mean_size"] = "B";
    }
    // Busy targets report on their responses; only idle ones are polled, at most all of the subsets.
    const double polls = static_cast<double>(std::min<std::size_t>(workers, 192)) * LoadPollBytes / 10;
    figures["load_polls_bytes_per_s"] = polls;
    units["load_polls_bytes_per_s"] = "B/s per node, all targets idle";
    figures["total_bytes_per_s"] = sent.total / perNode + polls;
    units["total_bytes_per_s"] = "B/s per node, sent";
    if (print)
        printResult("control_traffic", seed,
            { { "nodes", nodes }, { "workers", workers }, { "teams", teams }, { "requests_per_s_per_node", 20 } },
            figures, units);
    return sent.total / perNode + polls;
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    std::map<std::size_t, double> totals;
    for (const std::size_t nodes : { 3, 6, 12, 24 })
        totals[nodes] = run(nodes, 24, 10, seed, true);
    const double manyWorkers = run(12, 96, 10, seed, true);
    const double manyTeams = run(12, 24, 40, seed, true);
    run(96, 192, 40, seed, true);
    printResult("control_traffic_slope", seed, { { "base_nodes", 12 }, { "base_workers", 24 }, { "base_teams", 10 } },
        { { "per_node", (totals[24] - totals[12]) / 12 }, { "per_worker", (manyWorkers - totals[12]) / 72 },
            { "per_team", (manyTeams - totals[12]) / 30 } },
        { { "per_node", "B/s" }, { "per_worker", "B/s" }, { "per_team", "B/s" } });
    return 0;
}
