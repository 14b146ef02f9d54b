#include "tool/event_counts.h"

#include <absl/strings/numbers.h>

#include <array>
#include <cmath>

namespace oriolepick {

namespace {

    constexpr double MillisecondsPerSecond = 1000;
    constexpr double BoundTolerance = 1e-6; ///< relative; 0.078 s times 1000 is not exactly 78

    struct counter_source {
        const char* name;
        objective_metric metric;
        const char* onlyLabel; ///< null for all
        const char* onlyValue;
        bool countsTotal;
        bool countsBad;
    };

    // Refused, handed over and abandoned responses are left out of complete responses: the node did not fail them.
    constexpr std::array<counter_source, 8> Counters { {
        { "oriolepick_responses_total", objective_metric::SuccessShare, "result", "whole", true, false },
        { "oriolepick_responses_total", objective_metric::SuccessShare, "result", "failed", true, true },
        { "oriolepick_tokens_delivered_total", objective_metric::ExtraTokenShare, nullptr, nullptr, true, false },
        { "oriolepick_tokens_extra_total", objective_metric::ExtraTokenShare, nullptr, nullptr, false, true },
        { "oriolepick_refusals_total", objective_metric::TruthfulRefusalShare, "run", "not_run", true, false },
        { "oriolepick_false_refusals_total", objective_metric::TruthfulRefusalShare, nullptr, nullptr, true, true },
        { "oriolepick_calls_total", objective_metric::AtMostOnceShare, nullptr, nullptr, true, false },
        { "oriolepick_repeated_calls_total", objective_metric::AtMostOnceShare, nullptr, nullptr, false, true },
    } };

    struct histogram_source {
        const char* name;
        objective_metric metric;
    };

    constexpr std::array<histogram_source, 3> Histograms { {
        { "oriolepick_first_token_seconds", objective_metric::FirstTokenMs },
        { "oriolepick_inter_token_seconds", objective_metric::TokenGapMs },
        { "oriolepick_resume_seconds", objective_metric::ResumeLatencyMs },
    } };

    std::string labelOr(const metric_sample& sample, const char* label, const std::string& otherwise)
    {
        const auto found = sample.labels.find(label);
        return found == sample.labels.end() ? otherwise : found->second;
    }

    event_series seriesOf(const metric_sample& sample, objective_metric metric)
    {
        event_series series;
        series.metric = metric;
        series.fleet = labelOr(sample, "fleet", AllLabel);
        if (metric == objective_metric::TruthfulRefusalShare)
            return series;
        series.deployment = labelOr(sample, "deployment", labelOr(sample, "service", AllLabel));
        // The label of a service is qualified; reports show the caller's fleet already.
        const auto prefix = series.fleet + "/";
        if (series.deployment.rfind(prefix, 0) == 0)
            series.deployment.erase(0, prefix.size());
        // Extra tokens have no priority, so delivered tokens are added up over theirs.
        if (metric != objective_metric::ExtraTokenShare)
            series.priority = labelOr(sample, "priority", AllLabel);
        return series;
    }

    void addHistogram(node_scrape& scrape, const metric_sample& sample)
    {
        for (const auto& source : Histograms) {
            const std::string name = source.name;
            if (sample.name == name + "_count")
                scrape.series[seriesOf(sample, source.metric)].total += sample.value;
            else if (sample.name == name + "_bucket") {
                double bound = 0;
                if (absl::SimpleAtod(labelOr(sample, "le", ""), &bound) && std::isfinite(bound))
                    scrape.series[seriesOf(sample, source.metric)].within[bound * MillisecondsPerSecond]
                        += sample.value;
            }
        }
    }

} // namespace

double event_totals::badBeyond(double milliseconds) const
{
    const auto above = within.upper_bound(milliseconds * (1 + BoundTolerance));
    return above == within.begin() ? total : total - std::prev(above)->second;
}

node_scrape summarizeScrape(const std::string& node, wall_time at, const std::vector<metric_sample>& samples)
{
    node_scrape scrape { node, at, {}, {}, {} };
    for (const auto& sample : samples) {
        if (!std::isfinite(sample.value) || sample.value < 0)
            continue;
        if (sample.name == "oriolepick_ticket_in_force")
            scrape.ticket = sample.value;
        if (sample.name == "process_cpu_seconds_total")
            scrape.processSeconds = sample.value;
        for (const auto& source : Counters) {
            if (sample.name != source.name
                || (source.onlyLabel && labelOr(sample, source.onlyLabel, "") != source.onlyValue))
                continue;
            auto& totals = scrape.series[seriesOf(sample, source.metric)];
            totals.total += source.countsTotal ? sample.value : 0;
            totals.bad += source.countsBad ? sample.value : 0;
        }
        addHistogram(scrape, sample);
    }
    return scrape;
}

} // namespace oriolepick
