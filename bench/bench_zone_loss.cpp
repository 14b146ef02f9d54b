// One zone's targets crash at 85% load and all their streams reconnect at once; 40 s later the zone is back with cold
// caches. Usage: bench_zone_loss [seed]
#include "bench/json_line.h"
#include "bench/placement_simulation.h"

#include <cstdlib>

using namespace oriolepick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double LostAt = 60;
constexpr double BackAt = 100;
constexpr double End = 160;

void run(const trace_profile& profile, double requestsPerSecond, double load, std::uint64_t seed)
{
    const auto trace = makeTrace(profile, { { seconds(static_cast<int>(End)), requestsPerSecond * load } }, seed);
    simulation_settings settings;
    settings.strategy = "cost_based";
    settings.seed = seed;
    placement_simulation simulation(profile, settings);
    simulation.loseZone(0, instant(seconds(static_cast<int>(LostAt))), instant(seconds(static_cast<int>(BackAt))));
    const auto log = simulation.run(trace);
    nlohmann::ordered_json figures, units;
    figures["lost_streams"] = log.lostStreams;
    units["lost_streams"] = "1";
    figures["resumed_streams"] = log.resumes.size();
    units["resumed_streams"] = "1";
    for (const auto& [name, level] : { std::pair("resume_p50", 0.5), { "resume_p99", 0.99 }, { "resume_max", 1.0 } }) {
        figures[name] = quantile(log.resumes, level);
        units[name] = "s";
    }
    for (const auto& [name, from, until] :
        { std::tuple("first_token_p95_before", 30.0, LostAt), { "first_token_p95_while_lost", LostAt, BackAt },
            { "first_token_p95_from_10_s_after_return", BackAt + 10, End } }) {
        figures[name] = quantile(firstTokenTimes(log, from, until), 0.95);
        units[name] = "s";
    }
    figures["seconds_to_normal_after_return"] = secondsToNormal(log, BackAt, 0.78);
    units["seconds_to_normal_after_return"] = "s";
    figures["refusals_bulk"] = log.refusals[0];
    figures["refusals_normal"] = log.refusals[1];
    figures["refusals_urgent"] = log.refusals[2];
    for (const auto* name : { "refusals_bulk", "refusals_normal", "refusals_urgent" })
        units[name] = "responses";
    printResult("zone_loss", seed,
        { { "deployment", profile.name }, { "load", load }, { "requests_per_s", requestsPerSecond * load },
            { "zones", profile.zones }, { "news_delay_s", 1.0 } },
        figures, units);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    // Near the capacities that bench_placement measures; fixed, so that runs of different builds compare.
    for (const double load : { 0.6, 0.85 }) {
        run(atelierProfile(), 48.7, load, seed);
        run(refillProfile(), 76.0, load, seed);
    }
    return 0;
}
