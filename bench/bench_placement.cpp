// Compares the placement strategies on one seeded trace of each deployment.
// Usage: bench_placement [seed [strategy]]
#include "bench/json_line.h"
#include "bench/placement_simulation.h"

#include <cstdlib>
#include <string>

using namespace oriolepick;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double FirstTokenGoal = 0.78;
constexpr double Warmup = 30;
constexpr double Measured = 120;

struct bench_context {
    std::uint64_t seed;
    trace_profile profile;
    double capacity; // requests per second that keep the engines full
};

run_log runTrace(const bench_context& context, const std::string& strategy, milliseconds delay,
    const std::vector<load_phase>& phases)
{
    const auto trace = makeTrace(context.profile, phases, context.seed);
    simulation_settings settings;
    settings.strategy = strategy;
    settings.newsDelay = delay;
    settings.seed = context.seed;
    return placement_simulation(context.profile, settings).run(trace);
}

// Tokens per second of full engines under the product's strategy, in requests of the trace's mean length.
double measureCapacity(const bench_context& context)
{
    constexpr double Offered = 400;
    const auto trace = makeTrace(context.profile, { { seconds(20), Offered } }, context.seed);
    double tokens = 0;
    for (const auto& request : trace)
        tokens += request.service ? 0 : request.outputTokens;
    const double meanTokens = tokens / static_cast<double>(trace.size());
    double estimate = 40;
    // Repeated at the rate found, because a far too high load sheds bulk requests and so changes the mix.
    for (int round = 0; round < 3; ++round) {
        const auto log = runTrace(context, "cost_based", milliseconds(1000), { { seconds(120), estimate * 1.3 } });
        estimate = goodput(log, 60, 120) / meanTokens;
    }
    return estimate;
}

nlohmann::ordered_json parametersOf(
    const bench_context& context, const std::string& strategy, milliseconds delay, const std::string& load)
{
    return { { "deployment", context.profile.name }, { "strategy", strategy }, { "load", load },
        { "news_delay_s", std::chrono::duration<double>(delay).count() }, { "event_loss", 0.2 },
        { "nodes", context.profile.nodes }, { "workers", context.profile.engines + context.profile.services },
        { "capacity_requests_per_s", context.capacity } };
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

void addCommon(
    nlohmann::ordered_json& figures, nlohmann::ordered_json& units, const run_log& log, double from, double until)
{
    const auto times = firstTokenTimes(log, from, until);
    for (const auto& [name, level] : { std::pair("p50", 0.5), { "p95", 0.95 }, { "p99", 0.99 } }) {
        figures[std::string("first_token_") + name] = quantile(times, level);
        units[std::string("first_token_") + name] = "s";
    }
    figures["between_tokens_p95"] = gapQuantile95(log);
    units["between_tokens_p95"] = "s";
    figures["prefix_hit_share"] = share(log.cachedTokens, log.promptTokens);
    figures["extra_tokens_per_delivered"] = share(log.repeatedTokens, log.deliveredTokens);
    figures["imbalance_max_over_mean"] = imbalance(log);
    figures["jain_fairness_teams"] = fairness(log, from, until);
    for (const auto* name :
        { "prefix_hit_share", "extra_tokens_per_delivered", "imbalance_max_over_mean", "jain_fairness_teams" })
        units[name] = "1";
    figures["refusals_bulk"] = log.refusals[0];
    figures["refusals_normal"] = log.refusals[1];
    figures["refusals_urgent"] = log.refusals[2];
    for (const auto* name : { "refusals_bulk", "refusals_normal", "refusals_urgent" })
        units[name] = "responses";
    figures["goodput"] = goodput(log, from, until);
    units["goodput"] = "tokens/s";
}

void benchNormal(const bench_context& context, const std::string& strategy, milliseconds delay)
{
    const auto log = runTrace(
        context, strategy, delay, { { seconds(static_cast<int>(Warmup + Measured)), context.capacity * 0.85 } });
    nlohmann::ordered_json figures, units;
    addCommon(figures, units, log, Warmup, Warmup + Measured);
    printResult("placement", context.seed, parametersOf(context, strategy, delay, "0.85"), figures, units);
}

void benchOverload(const bench_context& context, const std::string& strategy, milliseconds delay)
{
    const auto full = runTrace(context, strategy, delay, { { seconds(120), context.capacity } });
    const double once = goodput(full, 60, 120);
    const auto log = runTrace(context, strategy, delay,
        { { seconds(60), context.capacity * 0.85 }, { seconds(60), context.capacity * 2 },
            { seconds(60), context.capacity * 0.85 } });
    nlohmann::ordered_json figures, units;
    addCommon(figures, units, log, 60, 120);
    figures["goodput_over_1x"] = goodput(log, 60, 120) / once;
    units["goodput_over_1x"] = "1";
    figures["seconds_to_normal"] = secondsToNormal(log, 120, FirstTokenGoal);
    units["seconds_to_normal"] = "s";
    figures["first_token_p95_from_10_s_after"] = quantile(firstTokenTimes(log, 130, 180), 0.95);
    units["first_token_p95_from_10_s_after"] = "s";
    printResult("placement_overload", context.seed, parametersOf(context, strategy, delay, "2.0"), figures, units);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    const std::string only = argc > 2 ? argv[2] : "";
    for (const auto& profile : { atelierProfile(), refillProfile() }) {
        bench_context context { seed, profile, 0 };
        context.capacity = measureCapacity(context);
        for (const auto* strategy :
            { "round_robin", "least_connections", "random_of_two", "prefix_hash", "cost_based" }) {
            if (!only.empty() && only != strategy)
                continue;
            for (const auto delay : { milliseconds(100), milliseconds(1000), milliseconds(5000) }) {
                benchNormal(context, strategy, delay);
                benchOverload(context, strategy, delay);
            }
        }
    }
    return 0;
}
