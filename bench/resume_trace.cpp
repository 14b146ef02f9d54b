#include "bench/resume_trace.h"

#include "core/seeded_random.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

namespace {

    constexpr double LongShare = 0.11; // design, section 1.4: 11% of generations run for minutes
    constexpr std::uint32_t LongTokens = 2000;
    constexpr std::uint32_t ShortTokens = 150;
    constexpr double SilentShare = 0.3; // hosts that vanish without closing their connections
    constexpr double PausesPerMinute = 0.5;
    constexpr double LostConnectionsPerMinute = 2;

    bench_time seconds(double value)
    {
        return bench_time(std::llround(value * 1e6));
    }

    double exponential(seeded_random& random, double mean)
    {
        return -mean * std::log(1 - random.unit());
    }

    std::uint32_t outputLength(seeded_random& random)
    {
        const double mean = random.unit() < LongShare ? LongTokens : ShortTokens;
        return 8 + static_cast<std::uint32_t>(mean * (0.5 + random.unit()));
    }

    void addFaults(resume_trace& trace, seeded_random& random, const fleet_shape& shape, double perMinute,
        trace_fault_kind kind, double shortest, double longest)
    {
        if (perMinute <= 0)
            return;
        for (auto at = seconds(exponential(random, 60 / perMinute)); at < trace.length;
             at += seconds(exponential(random, 60 / perMinute))) {
            const auto duration = seconds(shortest + (longest - shortest) * random.unit());
            trace.faults.push_back({ at, kind, static_cast<std::uint32_t>(random.below(shape.workers)), duration });
        }
    }

} // namespace

resume_trace makeTrace(
    const fleet_shape& shape, std::uint64_t seed, double load, double minutes, double deathsPerMinute, bool zoneLoss)
{
    resume_trace trace;
    trace.seed = seed;
    trace.load = load;
    trace.deathsPerMinute = deathsPerMinute;
    trace.zoneLoss = zoneLoss;
    trace.length = seconds(minutes * 60);
    seeded_random arrivals(seed);
    seeded_random faults(seed + 1);

    const double meanLength = LongShare * LongTokens + (1 - LongShare) * ShortTokens;
    const double step = (shape.stepMilliseconds + shape.perStreamMilliseconds * shape.batch) / 1000;
    const double perSecond = load * shape.workers * shape.batch / (meanLength * step);
    std::vector<std::uint32_t> manualTokens;
    for (std::uint32_t index = 0; index < shape.manuals; ++index)
        manualTokens.push_back(1000 + static_cast<std::uint32_t>(arrivals.below(3000)));
    for (auto at = seconds(exponential(arrivals, 1 / perSecond)); at < trace.length;
         at += seconds(exponential(arrivals, 1 / perSecond))) {
        trace_request request;
        request.at = at;
        request.node = static_cast<std::uint32_t>(arrivals.below(shape.nodes));
        // Squaring favours the first manuals, so that some are far more popular than others.
        request.manual = static_cast<std::uint32_t>(std::pow(arrivals.unit(), 2) * shape.manuals);
        request.manualTokens = manualTokens[request.manual];
        request.ownTokens = 100 + static_cast<std::uint32_t>(arrivals.below(200));
        request.length = outputLength(arrivals);
        trace.requests.push_back(request);
    }

    addFaults(trace, faults, shape, PausesPerMinute, trace_fault_kind::Pause, 0.5, 3);
    addFaults(trace, faults, shape, LostConnectionsPerMinute, trace_fault_kind::LostConnection, 0, 0);
    addFaults(trace, faults, shape, deathsPerMinute * (1 - SilentShare), trace_fault_kind::Crash, 15, 25);
    addFaults(trace, faults, shape, deathsPerMinute * SilentShare, trace_fault_kind::SilentDeath, 20, 30);
    if (zoneLoss) {
        for (std::uint32_t worker = 0; worker < shape.workers; worker += shape.zones)
            trace.faults.push_back({ trace.length / 2, trace_fault_kind::SilentDeath, worker, seconds(60) });
    }
    std::stable_sort(trace.faults.begin(), trace.faults.end(),
        [](const trace_fault& left, const trace_fault& right) { return left.at < right.at; });
    return trace;
}

} // namespace oriolepick
