// Cost of non-idempotent calls: table commits and reads per call, latency of the claim, processor time per event and
// memory per open call. Usage: bench_calls [SEED]; prints one JSON object a line.
#include "bench/call_fleet.h"

#include <malloc.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace oriolepick;

namespace {

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto index
        = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

void reportLoad(const call_load& load, std::uint64_t seed)
{
    auto figures = call_fleet(load, seed).run();
    const auto calls = static_cast<double>(std::max<std::uint64_t>(figures.calls, 1));
    std::printf(
        "{\"name\":\"calls\",\"seed\":%llu,\"nodes\":%zu,\"calls_per_s\":%g,\"retry_share\":%g,\"table_ms\":%g,"
        "\"seconds\":%g,\"calls\":%llu,\"answered\":%llu,\"failed\":%llu,\"runs\":%llu,"
        "\"commits_per_call\":%.3f,\"reads_per_call\":%.3f,\"rows_per_commit\":%.2f,\"fleet_commits_per_s\":%.1f,"
        "\"claim_p50_ms\":%.1f,\"claim_p99_ms\":%.1f,\"response_p50_ms\":%.1f,\"response_p99_ms\":%.1f,"
        "\"events_per_call\":%.1f,\"cpu_us_per_event\":%.2f,\"cpu_us_per_call\":%.1f}\n",
        static_cast<unsigned long long>(seed), load.nodes, load.callsPerSecond, load.retryShare, load.tableMilliseconds,
        load.seconds, static_cast<unsigned long long>(figures.calls), static_cast<unsigned long long>(figures.answered),
        static_cast<unsigned long long>(figures.failed), static_cast<unsigned long long>(figures.runs),
        static_cast<double>(figures.commits) / calls, static_cast<double>(figures.reads) / calls,
        static_cast<double>(figures.rowsWritten) / static_cast<double>(std::max<std::uint64_t>(figures.commits, 1)),
        static_cast<double>(figures.commits) / load.seconds, quantile(figures.claimMilliseconds, 0.5),
        quantile(figures.claimMilliseconds, 0.99), quantile(figures.answerMilliseconds, 0.5),
        quantile(figures.answerMilliseconds, 0.99), static_cast<double>(figures.events) / calls,
        figures.deskSeconds * 1e6 / static_cast<double>(std::max<std::uint64_t>(figures.events, 1)),
        figures.deskSeconds * 1e6 / calls);
    std::fflush(stdout);
}

/// Heap in use by calls that wait for their claims, including the pending rows.
void reportMemory()
{
    constexpr std::size_t Calls = 20'000;
    const call_row_json codec;
    committer_settings committer;
    committer.maxPendingRows = Calls;
    call_coordinator desk(node_id("10.0.0.1:7000"), 1, {}, committer, codec, 1);
    const team_id team(fleet_name("refill"), "desk");
    const clock_reading now { instant(std::chrono::seconds(10)), wall_time(std::chrono::hours(1000)) };
    const auto before = mallinfo2().uordblks;
    for (std::size_t index = 0; index < Calls; ++index) {
        const auto key = "0b6c3f9e-2c1d-4d6e-9a53-" + std::to_string(100'000'000'000 + index);
        desk.open(now, { { team, key }, true, index + 1, now.wall, now.now + std::chrono::seconds(30) });
    }
    const auto used = mallinfo2().uordblks - before;
    std::printf("{\"name\":\"call_memory\",\"open_calls\":%zu,\"bytes_per_open_call\":%.0f}\n", Calls,
        static_cast<double>(used) / static_cast<double>(Calls));
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    for (const std::size_t nodes : { std::size_t { 12 }, std::size_t { 60 }, std::size_t { 370 } }) {
        for (const double rate : { 5.0, 50.0, 500.0, 1460.0 }) {
            call_load load;
            load.nodes = nodes;
            load.callsPerSecond = rate;
            reportLoad(load, seed);
        }
    }
    call_load retries;
    retries.retryShare = 0.2;
    reportLoad(retries, seed);
    call_load slow;
    slow.tableMilliseconds = 100;
    reportLoad(slow, seed);
    reportMemory();
    return 0;
}
