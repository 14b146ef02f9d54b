// Tickets: fold and apply time, start through a snapshot, spreading by announcements in virtual time, table operations
// and memory. Usage: bench_tickets [SEED]; prints one JSON object a line.
#include "bench/ticket_spread.h"
#include "config/snapshot_json.h"
#include "config/state_in_force.h"
#include "config/ticket_json.h"
#include "core/ticket_compaction.h"
#include "core/ticket_validation.h"

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

using namespace oriolepick;

namespace {

using seconds = std::chrono::duration<double>;
using steady = std::chrono::steady_clock;

constexpr int TargetCount = 12'000;
constexpr int DeploymentCount = 24;
constexpr int TeamCount = 350;
const fleet_name Fleet("one");

void print(const nlohmann::json& figures)
{
    std::printf("%s\n", figures.dump().c_str());
    std::fflush(stdout);
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty()
        ? 0
        : values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

/// The first tickets: a fleet of the design scale, split to keep within the size limit of a ticket.
std::vector<ticket> designScale()
{
    std::vector<ticket_object> objects;
    objects.push_back({ { object_kind::Fleet, Fleet, "one" }, fleet_settings { "", { availability_zone("a") }, 60 } });
    objects.push_back({ { object_kind::Policy, Fleet, "now" }, policy_settings {} });
    objects.push_back({ { object_kind::Model, Fleet, "m" }, model_settings { { model_version("1") }, {} } });
    for (int index = 0; index < TeamCount; ++index) {
        team_settings team;
        char digest[65];
        std::snprintf(digest, sizeof digest, "%064x", index);
        team.tokenDigests = { digest };
        team.requestsPerSecond = 20;
        objects.push_back({ { object_kind::Team, Fleet, "team-" + std::to_string(index) }, team });
    }
    std::vector<deployment_settings> deployments(DeploymentCount);
    for (int index = 0; index < TargetCount; ++index) {
        target_settings target;
        target.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250) + ":8000";
        target.zone = availability_zone("a");
        const auto name = "worker-" + std::to_string(index);
        objects.push_back({ { object_kind::Target, Fleet, name }, target });
        deployments[static_cast<std::size_t>(index % DeploymentCount)].targets.emplace_back(Fleet, name);
    }
    for (int index = 0; index < DeploymentCount; ++index) {
        auto& deployment = deployments[static_cast<std::size_t>(index)];
        deployment.model = model_id(Fleet, "m");
        deployment.version = model_version("1");
        deployment.resumePolicy = "now";
        objects.push_back({ { object_kind::Deployment, Fleet, "d-" + std::to_string(index) }, deployment });
    }
    std::vector<ticket> tickets;
    for (std::size_t start = 0; start < objects.size(); start += MaxTicketObjects) {
        const auto end = std::min(objects.size(), start + MaxTicketObjects);
        tickets.push_back({ tickets.size() + 1, "bench", "",
            std::vector<ticket_object>(objects.begin() + static_cast<std::ptrdiff_t>(start),
                objects.begin() + static_cast<std::ptrdiff_t>(end)) });
    }
    return tickets;
}

/// A usual change: one team's limits or one target's place.
ticket usualChange(ticket_number number, seeded_random& random)
{
    ticket change { number, "bench", "usual change", {} };
    if (random.below(2)) {
        team_settings team;
        const auto index = random.below(TeamCount);
        char digest[65];
        std::snprintf(digest, sizeof digest, "%064x", static_cast<unsigned>(index));
        team.tokenDigests = { digest };
        team.requestsPerSecond = static_cast<double>(1 + random.below(100));
        change.objects.push_back({ { object_kind::Team, Fleet, "team-" + std::to_string(index) }, team });
    } else {
        const auto index = static_cast<int>(random.below(TargetCount));
        target_settings target;
        target.address = "10.0." + std::to_string(index / 250) + "." + std::to_string(1 + index % 250) + ":8000";
        target.zone = availability_zone("a");
        target.leaving = random.below(2);
        change.objects.push_back({ { object_kind::Target, Fleet, "worker-" + std::to_string(index) }, target });
    }
    return change;
}

void measureApply(std::uint64_t seed, const std::vector<ticket>& scale)
{
    constexpr int Tickets = 300;
    seeded_random random(seed);
    auto state = fleet_state().after(scale);
    std::vector<double> fold;
    std::vector<double> parseAndFold;
    std::vector<double> check;
    std::size_t bytes = 0;
    for (int index = 0; index < Tickets; ++index) {
        const auto change = usualChange(state->number() + 1, random);
        const auto text = encodeTicket(change);
        bytes += text.size();
        const auto start = steady::now();
        const auto parsed = parseTicket(text);
        const auto middle = steady::now();
        const auto next = state->after({ *parsed.value });
        const auto end = steady::now();
        fold.push_back(seconds(end - middle).count() * 1e6);
        parseAndFold.push_back(seconds(end - start).count() * 1e6);
        if (index % 30 == 0) {
            const auto before = steady::now();
            if (!validate(change, *state).empty())
                std::abort();
            check.push_back(seconds(steady::now() - before).count() * 1e6);
        }
        state = next;
    }
    print({ { "name", "ticket_apply" }, { "seed", seed }, { "targets", TargetCount }, { "tickets", Tickets },
        { "ticket_bytes_mean", bytes / Tickets }, { "fold_p50_us", quantile(fold, 0.5) },
        { "fold_p99_us", quantile(fold, 0.99) }, { "parse_and_fold_p50_us", quantile(parseAndFold, 0.5) },
        { "parse_and_fold_p99_us", quantile(parseAndFold, 0.99) }, { "validate_p50_us", quantile(check, 0.5) } });
}

void measureStart(std::uint64_t seed, const std::vector<ticket>& scale, ticket_number history)
{
    seeded_random random(seed);
    auto state = fleet_state().after(scale);
    std::string snapshot;
    ticket_batch batch;
    std::vector<ticket> page;
    while (state->number() + page.size() < history) {
        page.push_back(usualChange(state->number() + page.size() + 1, random));
        const auto number = state->number() + page.size();
        if (number % TicketsPerSnapshot && number < history)
            continue;
        state = state->after(page);
        if (number % TicketsPerSnapshot == 0 && number + TicketsPerSnapshot > history) {
            batch.snapshot = encodeSnapshot(*state);
            batch.snapshotNumber = number;
        } else if (batch.snapshotNumber)
            for (const auto& change : page)
                batch.tickets.push_back(encodeTicket(change));
        page.clear();
    }
    // The longest tail: one snapshot is due but not written.
    batch.first = batch.snapshotNumber + 1;
    while (batch.tickets.size() < TicketsPerSnapshot)
        batch.tickets.push_back(encodeTicket(usualChange(batch.first + batch.tickets.size(), random)));
    const auto start = steady::now();
    state_in_force inForce;
    const auto number = inForce.apply(batch);
    const auto took = seconds(steady::now() - start).count();
    if (!number || number.value() != batch.lastNumber())
        std::abort();
    print({ { "name", "ticket_start" }, { "seed", seed }, { "history", history }, { "targets", TargetCount },
        { "snapshot_bytes", batch.snapshot.size() }, { "tail_tickets", batch.tickets.size() },
        { "start_ms", took * 1e3 } });
}

void measureSpread(std::uint64_t seed, unsigned nodes)
{
    constexpr unsigned Runs = 200;
    constexpr std::size_t TicketBytes = 1000;
    std::vector<double> rounds;
    std::vector<double> time;
    std::vector<double> bytes;
    std::vector<double> most;
    for (unsigned run = 0; run < Runs; ++run) {
        ticket_spread spread(nodes, TicketBytes, seed + run);
        const auto figures = spread.spreadOne();
        rounds.push_back(figures.rounds);
        time.push_back(figures.milliseconds);
        bytes.push_back(figures.bytesPerNodeMean);
        most.push_back(figures.bytesPerNodeMost);
    }
    print({ { "name", "ticket_spread" }, { "seed", seed }, { "nodes", nodes }, { "runs", Runs },
        { "ticket_bytes", TicketBytes }, { "rounds_p50", quantile(rounds, 0.5) },
        { "rounds_p99", quantile(rounds, 0.99) }, { "virtual_ms_p50", quantile(time, 0.5) },
        { "virtual_ms_p99", quantile(time, 0.99) }, { "virtual_ms_max", quantile(time, 1) },
        { "sent_bytes_per_node_mean", quantile(bytes, 0.5) },
        { "sent_bytes_per_node_max_p99", quantile(most, 0.99) } });
}

void measureOperations(std::uint64_t seed, unsigned nodes)
{
    constexpr double TicketsPerSecond = 0.88; // 76,000 a day
    constexpr int Seconds = 300;
    ticket_spread spread(nodes, 1000, seed);
    const auto figures = spread.runFor(Seconds, TicketsPerSecond);
    // A submission without faults reads the ticket row and the head once each, and the head, the newest snapshot
    // pointer and the tail to validate; it commits two rows in one transaction.
    constexpr double ReadsPerSubmission = 5;
    print({ { "name", "ticket_operations" }, { "seed", seed }, { "nodes", nodes }, { "virtual_seconds", Seconds },
        { "tickets_per_second", TicketsPerSecond }, { "node_reads_per_second", figures.readsPerSecond },
        { "submission_reads_per_second", TicketsPerSecond * ReadsPerSubmission },
        { "transactions_per_second", TicketsPerSecond }, { "rows_written_per_second", 2 * TicketsPerSecond },
        { "sent_bytes_per_node_per_second", figures.bytesPerNodePerSecond },
        { "in_force_on_all_p50_ms", quantile(figures.milliseconds, 0.5) },
        { "in_force_on_all_p99_ms", quantile(figures.milliseconds, 0.99) },
        { "in_force_on_all_max_ms", quantile(figures.milliseconds, 1) } });
}

void measureMemory(std::uint64_t seed, const std::vector<ticket>& scale)
{
    const auto before = mallinfo2().uordblks;
    const auto state = fleet_state().after(scale);
    const auto used = mallinfo2().uordblks - before;
    seeded_random random(seed);
    const auto next = state->after({ usualChange(state->number() + 1, random) });
    const auto copied = mallinfo2().uordblks - before - used;
    const auto count = state->objects().size();
    print({ { "name", "ticket_memory" }, { "seed", seed }, { "objects", count }, { "state_bytes", used },
        { "bytes_per_object", used / count }, { "next_state_bytes", copied } });
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    const auto scale = designScale();
    measureMemory(seed, scale);
    measureApply(seed, scale);
    for (const ticket_number history : { 1'000, 10'000, 100'000 })
        measureStart(seed, scale, history);
    for (const unsigned nodes : { 3, 6, 12, 24, 370 })
        measureSpread(seed, nodes);
    for (const unsigned nodes : { 3, 6, 12, 24, 370 })
        measureOperations(seed, nodes);
    return 0;
}
