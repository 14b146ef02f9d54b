#include "gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace oriolepick {

namespace {

    // Bucket boundaries in seconds, from the objective of a lookup to the longest deadline of a generation.
    const prometheus::Histogram::BucketBoundaries AnswerSeconds { 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
        25 };

    // Bucket boundaries in seconds, from the change of one of a few routes to the first of tens of thousands.
    const prometheus::Histogram::BucketBoundaries ConfigurationSeconds { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
        0.05, 0.1, 0.25, 0.5, 1 };

} // namespace

struct gateway_metrics::families {
    prometheus::Family<prometheus::Counter>& answers;
    prometheus::Family<prometheus::Histogram>& seconds;
    prometheus::Family<prometheus::Counter>& events;
    prometheus::Family<prometheus::Histogram>& configurations;
};

gateway_metrics::gateway_metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
    , m_families(new families { prometheus::BuildCounter()
                                    .Name("oriolepick_gateway_answers_total")
                                    .Help("Final answers by kind of route and outcome.")
                                    .Register(*m_registry),
          prometheus::BuildHistogram()
              .Name("oriolepick_gateway_answer_seconds")
              .Help("Time from the whole request to the end of its answer.")
              .Register(*m_registry),
          prometheus::BuildCounter()
              .Name("oriolepick_gateway_events_total")
              .Help("Repeats, resumes, faults of targets and other events by name.")
              .Register(*m_registry),
          prometheus::BuildHistogram()
              .Name("oriolepick_gateway_configuration_seconds")
              .Help("Time for which one version of the configuration occupied the event loop.")
              .Register(*m_registry) })
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::countAnswer(std::string_view kind, std::string_view outcome, std::chrono::milliseconds took)
{
    m_families->answers.Add({ { "kind", std::string(kind) }, { "outcome", std::string(outcome) } }).Increment();
    m_families->seconds.Add({ { "kind", std::string(kind) } }, AnswerSeconds)
        .Observe(std::chrono::duration<double>(took).count());
}

void gateway_metrics::observeConfiguration(std::chrono::microseconds took)
{
    m_families->configurations.Add({}, ConfigurationSeconds).Observe(std::chrono::duration<double>(took).count());
}

void gateway_metrics::count(std::string_view event)
{
    m_families->events.Add({ { "event", std::string(event) } }).Increment();
}

std::string gateway_metrics::text() const
{
    std::ostringstream page;
    prometheus::TextSerializer().Serialize(page, m_registry->Collect());
    return page.str();
}

} // namespace oriolepick
