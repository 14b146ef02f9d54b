#include "node/node_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace oriolepick {

namespace {

    struct metric_row {
        const char* name;
        const char* help;
    };

    constexpr std::array<metric_row, static_cast<std::size_t>(counter_metric::Count)> Counters { {
        { "oriolepick_requests_total", "Requests of callers by code of the answer" },
        { "oriolepick_responses_total", "Generations by how their response ended" },
        { "oriolepick_refusals_total", "Refusals by code and by what they say about the work" },
        { "oriolepick_false_refusals_total", "Answers \"not run\" after a token was delivered; must stay 0" },
        { "oriolepick_team_requests_total", "Requests by team" },
        { "oriolepick_tokens_delivered_total", "Tokens delivered to callers" },
        { "oriolepick_tokens_extra_total", "Tokens computed again or never delivered" },
        { "oriolepick_generation_events_total", "Suspicions, hedges, attaches, dropped tokens and the like" },
        { "oriolepick_bad_input_total", "Malformed or oversized input by entrance" },
        { "oriolepick_calls_total", "Calls to plain services by outcome" },
        { "oriolepick_repeated_calls_total", "Non-idempotent calls that were dispatched twice; must stay 0" },
        { "oriolepick_target_limits_total", "Changes of the request limits of targets, and permits for requests" },
        { "oriolepick_state_changes_total", "Changes of state of targets, peers and this node" },
        { "oriolepick_peer_messages_total", "Messages between nodes" },
        { "oriolepick_peer_bytes_total", "Bytes of messages between nodes" },
        { "oriolepick_ports_operations_total", "Operations on the platform by outcome" },
    } };

    struct histogram_row {
        const char* name;
        const char* help;
        prometheus::Histogram::BucketBoundaries buckets;
    };

    const std::array<histogram_row, static_cast<std::size_t>(histogram_metric::Count)>& histograms()
    {
        static const std::array<histogram_row, static_cast<std::size_t>(histogram_metric::Count)> rows { {
            { "oriolepick_first_token_seconds", "Time from request to first token",
                { 0.05, 0.1, 0.2, 0.4, 0.6, 0.78, 1, 1.5, 2, 3, 5, 10, 30 } },
            { "oriolepick_inter_token_seconds", "Time between tokens",
                { 0.005, 0.01, 0.02, 0.04, 0.06, 0.079, 0.1, 0.15, 0.25, 0.5, 1, 3 } },
            { "oriolepick_resume_seconds", "Gap in a stream that broke or stalled and went on",
                { 0.05, 0.1, 0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10 } },
            { "oriolepick_call_seconds", "Time of calls to plain services",
                { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5 } },
        } };
        return rows;
    }

    constexpr std::array<metric_row, static_cast<std::size_t>(gauge_metric::Count)> Gauges { {
        { "oriolepick_open_streams", "Generations that are being streamed" },
        { "oriolepick_queued_requests", "Requests waiting for a target" },
        { "oriolepick_ticket_in_force", "Number of the ticket in force" },
        { "oriolepick_peers", "Other nodes by status" },
        { "oriolepick_targets", "Targets by state" },
        { "oriolepick_quarantined_requests", "Fingerprints that are not dispatched any more" },
        { "oriolepick_ready", "1 when this node takes requests" },
        { "process_resident_memory_bytes", "Resident memory of this process" },
        { "process_cpu_seconds_total", "Processor time of this process" },
        { "oriolepick_control_cpu_seconds_total", "Processor time of the control loop's thread" },
    } };

} // namespace

struct node_metrics::families {
    std::array<prometheus::Family<prometheus::Counter>*, static_cast<std::size_t>(counter_metric::Count)> counters;
    std::array<prometheus::Family<prometheus::Histogram>*, static_cast<std::size_t>(histogram_metric::Count)>
        histograms;
    std::array<prometheus::Family<prometheus::Gauge>*, static_cast<std::size_t>(gauge_metric::Count)> gauges;
};

node_metrics::node_metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_families(std::make_unique<families>())
{
    for (std::size_t index = 0; index < Counters.size(); ++index) {
        m_families->counters[index]
            = &prometheus::BuildCounter().Name(Counters[index].name).Help(Counters[index].help).Register(*m_registry);
    }
    for (std::size_t index = 0; index < histograms().size(); ++index) {
        const auto& row = histograms()[index];
        m_families->histograms[index]
            = &prometheus::BuildHistogram().Name(row.name).Help(row.help).Register(*m_registry);
    }
    for (std::size_t index = 0; index < Gauges.size(); ++index) {
        m_families->gauges[index]
            = &prometheus::BuildGauge().Name(Gauges[index].name).Help(Gauges[index].help).Register(*m_registry);
    }
}

node_metrics::~node_metrics() = default;

prometheus::Counter& node_metrics::counter(counter_metric metric, const labels& at)
{
    return m_families->counters[static_cast<std::size_t>(metric)]->Add(at);
}

prometheus::Histogram& node_metrics::histogram(histogram_metric metric, const labels& at)
{
    const auto index = static_cast<std::size_t>(metric);
    return m_families->histograms[index]->Add(at, histograms()[index].buckets);
}

void node_metrics::add(counter_metric metric, const labels& at, double amount)
{
    counter(metric, at).Increment(amount);
}

void node_metrics::set(gauge_metric metric, const labels& at, double value)
{
    m_families->gauges[static_cast<std::size_t>(metric)]->Add(at).Set(value);
}

void node_metrics::observe(histogram_metric metric, const labels& at, std::chrono::duration<double> value)
{
    histogram(metric, at).Observe(value.count());
}

std::string node_metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace oriolepick
