/// \file
/// Counters and histograms of a gateway.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus {
class Registry;
}

namespace oriolepick {

/// Counts frequent events; the log records single decisions.
class gateway_metrics {
public:
    gateway_metrics();
    ~gateway_metrics();

    /// Counts one final response to a caller.
    /// \param kind "repeatable", "runs_once", "stream" or "none" when no route was found
    /// \param outcome an error code, or "answered"
    void countAnswer(std::string_view kind, std::string_view outcome, std::chrono::milliseconds took);

    /// Records how long the event loop was occupied with one version of the configuration.
    void observeConfiguration(std::chrono::microseconds took);

    /// Counts one event by its name, for example "resumes", "malformed_responses" or "registry_errors".
    void count(std::string_view event);

    /// \return all metrics in the Prometheus text format
    std::string text() const;

private:
    struct families;
    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<families> m_families;
};

} // namespace oriolepick
