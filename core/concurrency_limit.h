/// \file
/// Adaptive limit on the requests in flight to one target group.
#pragma once

#include "core/instant.h"
#include "core/request_priority.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace oriolepick {

/// Settings of concurrency_limit.
struct concurrency_settings {
    /// Never less, so that samples keep coming from cold or slow engines, but within a share of the batch places: many
    /// nodes that share targets with small batches would otherwise exceed the places together.
    double minimumPerTarget = 2;
    double minimumShare = 0.25;
    double initialShare = 0.75; ///< of the batch places
    /// Requests beyond the batch places that may wait at the targets. There they wait for a place without the queue's
    /// priorities and fairness: 0.05 raised the first token's p95 under 2x overload without more goodput.
    double waitingShare = 0;
    double tolerance = 1.5; ///< latency above the baseline by this factor lowers the limit
    double minimumGradient = 0.9; ///< factor of one window; larger cuts overshoot, because streams end slowly
    std::chrono::milliseconds latencyFloor { 500 }; ///< below it latency is not a sign of overload
    /// Above it latency is a sign of overload whatever the baseline, which an overload longer than its window raises.
    std::chrono::milliseconds latencyCeiling { 1'000 };
    std::chrono::milliseconds window { 500 }; ///< at most one adjustment per window
    std::uint32_t minimumSamples = 8; ///< a window with fewer is extended up to four times
    std::chrono::milliseconds baselineWindow { 30'000 }; ///< the baseline is the least window median of this time
    /// Share of the limit that each priority (Bulk, Normal, Urgent) may fill; the rest is kept for higher ones.
    std::array<double, PriorityCount> priorityShare { 0.9, 0.97, 1.0 };
};

/// Gradient limit: grows while requests use it and their latency stays near the baseline, and shrinks in proportion
/// when latency rises. It never falls below a small minimum and grows again without samples, so that no
/// overload, zone loss or cold start can hold it down.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_settings settings = {});

    /// Sets the usable capacity; a lost zone lowers the limit at once.
    void setCapacity(std::uint32_t targets, std::uint32_t batchSlots);

    /// \return whether one more request of \p priority may be dispatched
    bool admits(request_priority priority) const;

    void recordDispatch();

    /// \param latency time to first token less the expected prefill of the request
    void recordLatency(std::chrono::milliseconds latency, instant now);

    void recordFinished();

    /// Adjusts the limit when a window has passed, also without samples.
    void update(instant now);

    double limit() const { return m_limit; }
    std::uint32_t inFlight() const { return m_inFlight; }

private:
    double minimum() const;
    double maximum() const;
    std::chrono::milliseconds takeMedian();
    std::chrono::milliseconds baseline(std::chrono::milliseconds median, instant now);

    concurrency_settings m_settings;
    std::uint32_t m_targets = 0;
    std::uint32_t m_batchSlots = 0;
    double m_limit = 1;
    std::uint32_t m_inFlight = 0;
    std::uint32_t m_peakInFlight = 0;
    bool m_started = false;
    instant m_windowStart;
    std::vector<std::chrono::milliseconds> m_samples; // of this window
    struct window_median {
        instant at;
        std::chrono::milliseconds median { 0 };
    };
    std::vector<window_median> m_medians; // increasing in time and value, so that the front is the least
};

} // namespace oriolepick
