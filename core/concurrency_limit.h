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
    /// Lower bound of the limit in requests per target. The bound keeps latency samples coming from cold or slow
    /// engines.
    double minimumPerTarget = 2;
    /// Caps the lower bound at this share of the batch slots. Otherwise many nodes that share targets with small
    /// batches would together exceed the slots.
    double minimumShare = 0.25;
    double initialShare = 0.75; ///< initial limit as a share of the batch slots
    /// Requests beyond the batch slots that may wait at the targets, as a share of the slots. Requests that wait there
    /// bypass the priorities and fairness of the admission queue: a share of 0.05 raised the p95 of the time to first
    /// token under 2x overload without more goodput.
    double waitingShare = 0;
    double tolerance = 1.5; ///< latency above the baseline by this factor lowers the limit
    /// Smallest factor that one window applies to the limit. Smaller factors overshoot, because streams end slowly.
    double minimumGradient = 0.9;
    std::chrono::milliseconds latencyFloor { 500 }; ///< lower latency never indicates overload
    /// Higher latency always indicates overload, because an overload longer than baselineWindow raises the baseline.
    std::chrono::milliseconds latencyCeiling { 1'000 };
    std::chrono::milliseconds window { 500 }; ///< at most one adjustment per window
    std::uint32_t minimumSamples = 8; ///< a window with fewer samples is extended to up to four times its length
    std::chrono::milliseconds baselineWindow { 30'000 }; ///< the baseline is the lowest window median of this period
    /// Share of the limit that each priority (Bulk, Normal, Urgent) may fill; the rest is reserved for higher
    /// priorities.
    std::array<double, PriorityCount> priorityShare { 0.9, 0.97, 1.0 };
};

/// Gradient-based concurrency limit. The limit grows while requests use it fully and their latency stays near the
/// baseline, and shrinks in proportion when latency rises. The limit never falls below a small minimum and recovers
/// without samples, so that it does not stay low after an overload, a zone loss or a cold start.
class concurrency_limit {
public:
    explicit concurrency_limit(concurrency_settings settings = {});

    /// Sets the usable capacity and scales the limit with it, so that the loss of a zone lowers the limit immediately.
    /// \param targets number of usable targets
    /// \param batchSlots requests that these targets run at once
    void setCapacity(std::uint32_t targets, std::uint32_t batchSlots);

    /// \return whether one more request of \p priority may be dispatched
    bool admits(request_priority priority) const;

    /// Counts a request as in flight.
    void recordDispatch();

    /// \param latency time to first token minus the expected prefill time of the request
    void recordLatency(std::chrono::milliseconds latency, instant now);

    /// Counts a request as no longer in flight.
    void recordFinished();

    /// Adjusts the limit when a window has passed, even if the window has no samples.
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
    std::vector<window_median> m_medians; // increasing in time and in value, so that the front holds the minimum
};

} // namespace oriolepick
