// Placements per second on one core and their slope in the number of candidates; memory per target, node and team;
// spread of the nodes over targets by the subset hash. Usage: bench_decisions [seed]
#include "bench/json_line.h"
#include "core/load_view.h"
#include "core/membership.h"
#include "core/placement.h"
#include "core/team_limiter.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

using namespace oriolepick;
using std::chrono::milliseconds;

namespace {

const fleet_name Fleet("atelier");
const model_ref Model { model_id(Fleet, "manuals"), model_version("1"), adapter_name() };
constexpr std::size_t PromptBlocks = 64; // 4096 tokens

target_profile engineProfile(std::size_t number)
{
    target_profile profile;
    profile.target = target_id(Fleet, "engine-" + std::to_string(number));
    profile.zone = availability_zone("zone-" + std::to_string(number % 13));
    profile.region = region_name("region-" + std::to_string(number % 4));
    profile.model = Model;
    return profile;
}

std::vector<block_hash> prompt(seeded_random& random)
{
    std::vector<block_hash> blocks;
    for (std::size_t index = 0; index < PromptBlocks; ++index)
        blocks.push_back(random.next());
    return blocks;
}

load_view makeView(std::size_t targets, std::size_t subset, seeded_random& random, bool warm)
{
    load_view view(node_id("node"), availability_zone("zone-0"), region_name("region-0"), { subset });
    for (std::size_t number = 0; number < targets; ++number) {
        const auto profile = engineProfile(number);
        view.setTarget(profile);
        view.recordReport(profile.target, { static_cast<std::uint32_t>(random.below(16)), 0, 16, 0 }, instant());
        for (int count = 0; warm && count < 64; ++count)
            view.recordCacheEvent(profile.target, static_cast<std::uint64_t>(count) + 1, prompt(random), {});
    }
    return view;
}

// Seconds for one placement with its query of the view.
double secondsPerPlacement(std::size_t candidates, std::uint64_t seed)
{
    seeded_random random(seed);
    const auto view = makeView(candidates, candidates, random, true);
    const auto strategy = makePlacementStrategy("cost_based");
    placement_query query;
    query.work = Model;
    query.prefixBlocks = prompt(random);
    query.prefixTokens = PromptBlocks * 64;
    constexpr int Rounds = 20'000;
    std::size_t chosen = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int round = 0; round < Rounds; ++round) {
        const auto decision
            = strategy->choose(query, view.candidates(query.work, query.prefixBlocks, instant()), random);
        chosen += decision.index() == 0 ? 1 : 0;
    }
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
    return chosen ? time.count() / Rounds : 0;
}

void benchPlacements(std::uint64_t seed)
{
    const std::vector<std::size_t> counts { 4, 8, 16, 32, 64, 128 };
    std::vector<double> times;
    times.reserve(counts.size());
    for (const auto count : counts)
        times.push_back(secondsPerPlacement(count, seed));
    for (std::size_t index = 0; index < counts.size(); ++index)
        printResult("decisions", seed, { { "candidates", counts[index] }, { "prompt_blocks", PromptBlocks } },
            { { "placements_per_s", 1 / times[index] } }, { { "placements_per_s", "1/s on one core" } });
    const double slope = (times.back() - times.front()) / static_cast<double>(counts.back() - counts.front());
    printResult("decisions_slope", seed, { { "from", counts.front() }, { "to", counts.back() } },
        { { "time_per_candidate", slope * 1e9 } }, { { "time_per_candidate", "ns" } });
}

void benchMemory(std::uint64_t seed)
{
    seeded_random random(seed);
    constexpr std::size_t Targets = 192;
    const auto cold = makeView(Targets, 32, random, false);
    const auto warm = makeView(Targets, 32, random, true);
    membership state(
        { node_id("10.0.0.1:7000"), availability_zone("zone-0"), region_name("region-0"), member_state::Alive, 1 }, {},
        seeded_random(seed), instant());
    const auto before = state.memoryBytes();
    constexpr std::size_t Nodes = 370;
    for (std::size_t number = 0; number < Nodes; ++number) {
        membership_message message { { node_id("10.0.1." + std::to_string(number) + ":7000"),
                                         availability_zone("zone-0"), region_name("region-0"), member_state::Alive, 1 },
            ack_message {}, {} };
        state.receive(message, instant());
    }
    team_limiter limiter;
    constexpr std::size_t Teams = 350;
    for (std::size_t number = 0; number < Teams; ++number)
        limiter.setLimit(team_id(Fleet, "team-" + std::to_string(number)), { 1000, 0.1 }, instant());
    const auto each
        = [](std::size_t bytes, std::size_t count) { return static_cast<double>(bytes) / static_cast<double>(count); };
    printResult("memory", seed,
        { { "targets", Targets }, { "nodes", Nodes }, { "teams", Teams }, { "cache_blocks", 4096 } },
        { { "per_target_cold", each(cold.memoryBytes(), Targets) },
            { "per_target_warm", each(warm.memoryBytes(), Targets) },
            { "per_node", each(state.memoryBytes() - before, Nodes) },
            { "per_team", each(limiter.memoryBytes(), Teams) } },
        { { "per_target_cold", "B" }, { "per_target_warm", "B" }, { "per_node", "B" }, { "per_team", "B" } });
}

// How evenly the subsets of 370 nodes cover the 2000 workers of one model.
void benchSubsets(std::uint64_t seed)
{
    constexpr std::size_t Targets = 2000;
    constexpr std::size_t Nodes = 370;
    std::map<target_id, int> seen;
    double seconds = 0;
    for (std::size_t number = 0; number < Nodes; ++number) {
        load_view view(node_id("10.0.0." + std::to_string(number) + ":7000"), availability_zone("zone-0"),
            region_name("region-0"));
        for (std::size_t target = 0; target < Targets; ++target)
            view.setTarget(engineProfile(target));
        const auto start = std::chrono::steady_clock::now();
        for (const auto& target : view.subset(Model))
            ++seen[target];
        seconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    }
    int most = 0;
    for (const auto& [target, count] : seen)
        most = std::max(most, count);
    printResult("subsets", seed, { { "targets", Targets }, { "nodes", Nodes }, { "subset", 32 } },
        { { "nodes_per_target_mean", 32.0 * Nodes / Targets }, { "nodes_per_target_max", most },
            { "targets_without_node", Targets - seen.size() }, { "subset_computation", seconds / Nodes * 1e3 } },
        { { "nodes_per_target_mean", "1" }, { "nodes_per_target_max", "1" }, { "targets_without_node", "1" },
            { "subset_computation", "ms" } });
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    benchPlacements(seed);
    benchMemory(seed);
    benchSubsets(seed);
    return 0;
}
