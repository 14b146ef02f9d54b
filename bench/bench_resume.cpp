// Resume latency and extra computation of the resume policies and baselines on one seeded trace in virtual time.
// Usage: bench_resume [SEED [MINUTES]]; prints one JSON object a line.
#include "bench/resume_fleet.h"
#include "core/resume_policy.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>

using namespace oriolepick;

namespace {

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    const auto index = std::min(values.size() - 1, static_cast<std::size_t>(share * values.size()));
    std::nth_element(values.begin(), values.begin() + static_cast<long>(index), values.end());
    return values[index];
}

void report(const fleet_shape& shape, const resume_trace& trace, const resume_policy& policy, resume_figures figures)
{
    const double delivered = std::max<double>(1, figures.delivered);
    const double extraOutput = static_cast<double>(figures.computedOutput) - static_cast<double>(figures.delivered);
    const double extraPrefill = figures.repeatedPrefill;
    // A prompt token costs a worker less time than an output token of a full batch.
    const double prefillWeight = shape.prefillMilliseconds * shape.batch
        / (shape.stepMilliseconds + shape.perStreamMilliseconds * shape.batch);
    auto& resumes = figures.resumeSeconds;
    const double perThousand = 1000.0 / std::max<double>(1, figures.generations);
    std::string failures;
    for (const auto& [kind, number] : figures.failures)
        failures
            += (failures.empty() ? "" : " ") + std::string(errorResponseFor(kind).code) + ":" + std::to_string(number);
    std::printf("{\"name\":\"resume\",\"policy\":\"%s\",\"seed\":%llu,\"deaths_per_minute\":%g,\"zone_loss\":%s,"
                "\"load\":%g,\"minutes\":%g,\"workers\":%u,\"generations\":%llu,\"completed\":%llu,\"failed\":%llu,"
                "\"broken_streams\":%zu,\"resume_p50_s\":%.3f,\"resume_p95_s\":%.3f,\"resume_p99_s\":%.3f,"
                "\"resume_max_s\":%.3f,\"extra_per_delivered\":%.4f,\"extra_output_per_delivered\":%.4f,"
                "\"extra_prefill_per_delivered\":%.4f,\"extra_compute_time_share\":%.4f,"
                "\"false_suspicions_per_1000\":%.2f,\"suspicions\":%llu,\"repeated_attempts\":%llu,\"needless_attempts_"
                "per_1000\":%.2f,\"failures\":\"%s\","
                "\"inter_token_p95_ms\":%.1f}\n",
        policy.name().data(), static_cast<unsigned long long>(trace.seed), trace.deathsPerMinute,
        trace.zoneLoss ? "true" : "false", trace.load, static_cast<double>(trace.length.count()) / 6e7, shape.workers,
        static_cast<unsigned long long>(figures.generations), static_cast<unsigned long long>(figures.completed),
        static_cast<unsigned long long>(figures.failed), resumes.size(), quantile(resumes, 0.5),
        quantile(resumes, 0.95), quantile(resumes, 0.99), quantile(resumes, 1),
        (extraOutput + extraPrefill) / delivered, extraOutput / delivered, extraPrefill / delivered,
        (extraOutput + extraPrefill * prefillWeight) / delivered, figures.falseSuspicions * perThousand,
        static_cast<unsigned long long>(figures.suspicions), static_cast<unsigned long long>(figures.secondAttempts),
        figures.needlessAttempts * perThousand, failures.c_str(), quantile(figures.gapSeconds, 0.95) * 1000);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
    const double minutes = argc > 2 ? std::strtod(argv[2], nullptr) : 20;
    constexpr double Load = 0.6; // after the loss of one zone of four, the survivors run at 0.8
    const fleet_shape shape;
    const latency_first_policy latencyFirst;
    const waiting_policy waiting;
    const restart_policy restart;
    const fixed_timeout_policy fixedTimeout;
    const duplicate_policy duplicate;
    const resume_policy* const policies[] = { &latencyFirst, &waiting, &restart, &fixedTimeout, &duplicate };
    struct scenario {
        double deathsPerMinute;
        bool zoneLoss;
    };
    for (const auto& [deaths, zoneLoss] : { scenario { 0, false }, { 1, false }, { 10, false }, { 0, true } }) {
        const auto trace = makeTrace(shape, seed, Load, minutes, deaths, zoneLoss);
        for (const auto* policy : policies)
            report(shape, trace, *policy, resume_fleet(shape, trace, *policy).run());
    }
    return 0;
}
