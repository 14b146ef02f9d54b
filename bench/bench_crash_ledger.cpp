// Harm of crashing requests and wrongly rejected neighbours over seeded traces; memory and time per fingerprint.
// Usage: bench_crash_ledger [SEED]; prints one JSON object a line.
#include "core/crash_ledger.h"
#include "core/seeded_random.h"
#include "standins/crash_trace.h"

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <string>

using namespace oriolepick;

namespace {

void reportTrace(const crash_trace_settings& settings, std::uint64_t seed)
{
    const auto figures = runCrashTrace(settings, seed);
    const auto neighbours = static_cast<double>(figures.neighbours ? figures.neighbours : 1);
    std::printf("{\"name\":\"crash_ledger\",\"seed\":%llu,\"targets\":%zu,\"batch\":%zu,\"seconds\":%lld,"
                "\"poison_share\":%g,\"other_crashes_per_target_hour\":%g,\"requests\":%zu,\"crashes\":%zu,"
                "\"poisons\":%zu,\"poisons_quarantined\":%zu,\"max_targets_per_poison\":%zu,"
                "\"mean_targets_per_poison\":%.2f,\"neighbours\":%zu,\"isolated_neighbour_share\":%.5f,"
                "\"quarantined_neighbour_share\":%.5f,\"unplaced\":%zu,\"fingerprints\":%zu}\n",
        static_cast<unsigned long long>(seed), settings.targets, settings.batch,
        static_cast<long long>(settings.duration.count()), settings.poisonShare, settings.crashesPerTargetHour,
        figures.requests, figures.crashes, figures.poisons, figures.poisonsQuarantined, figures.maxTargetsPerPoison,
        figures.meanTargetsPerPoison, figures.neighbours, static_cast<double>(figures.isolatedNeighbours) / neighbours,
        static_cast<double>(figures.quarantinedNeighbours) / neighbours, figures.unplaced, figures.fingerprints);
    std::fflush(stdout);
}

void reportMemory(std::uint64_t seed)
{
    constexpr std::size_t Crashes = 4000;
    constexpr std::size_t Batch = 16;
    seeded_random random(seed);
    crash_ledger ledger({});
    const wall_time now(std::chrono::hours(1000));
    const auto before = mallinfo2().uordblks;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < Crashes; ++index) {
        crash_event event { random.next(), target_id(fleet_name("refill"), "engine" + std::to_string(index)), now, {} };
        for (std::size_t slot = 0; slot < Batch; ++slot)
            event.suspects.push_back(random.next());
        ledger.recordCrash(now, event);
    }
    const auto recorded = std::chrono::steady_clock::now();
    std::size_t clear = 0;
    constexpr std::size_t Queries = 100'000;
    for (std::size_t index = 0; index < Queries; ++index)
        clear += ledger.verdict(now, random.next()) == crash_verdict::Clear ? 1 : 0;
    const std::chrono::duration<double> recording = recorded - start;
    const std::chrono::duration<double> querying = std::chrono::steady_clock::now() - recorded;
    std::printf("{\"name\":\"crash_ledger_cost\",\"seed\":%llu,\"fingerprints\":%zu,\"bytes_per_fingerprint\":%.0f,"
                "\"record_us_per_crash\":%.2f,\"verdict_ns\":%.0f,\"clear\":%zu}\n",
        static_cast<unsigned long long>(seed), ledger.fingerprints(),
        static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(ledger.fingerprints()),
        recording.count() * 1e6 / Crashes, querying.count() * 1e9 / Queries, clear);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    for (const double poison : { 0.00005, 0.0005, 0.002 }) {
        for (const double other : { 0.0006, 0.05, 0.5 }) {
            crash_trace_settings settings;
            settings.poisonShare = poison;
            settings.crashesPerTargetHour = other;
            reportTrace(settings, seed);
        }
    }
    reportMemory(seed);
    return 0;
}
