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

/// Everything frequent is counted here; the log has single decisions.
class gateway_metrics {
public:
    gateway_metrics();
    ~gateway_metrics();

    /// Counts one final answer.
    /// \param kind "repeatable", "runs_once", "stream" or "none" when no route was found
    /// \param outcome a code word of the table of errors, or "answered"
    void countAnswer(std::string_view kind, std::string_view outcome, std::chrono::milliseconds took);

    /// Counts something that happened, by name: "resumes", "malformed_responses", "registry_errors" and the like.
    void count(std::string_view event);

    /// \return the page in the Prometheus text format
    std::string text() const;

private:
    struct families;
    std::shared_ptr<prometheus::Registry> m_registry;
    std::unique_ptr<families> m_families;
};

} // namespace oriolepick
