/// \file
/// Estimates how long generations take, to decide whether a generation can still end in time.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace oriolepick {

/// Weights of generation_time_estimator.
struct generation_time_settings {
    /// Weight of a new sample in the moving mean: about the last twenty generations count.
    double smoothingFactor = 0.05;
    std::uint64_t minEvents = 5; ///< shorter generations are ignored: their time depends more on the prompt
    /// Share of the expected time that bounds any generation from below. Estimated lengths from callers are correct
    /// only at the median, and the fastest engines are less than twice as fast as the mean.
    double minTimeShare = 0.4;
};

/// Keeps a moving mean of the time per event for each service, and the time of the slowest generations. Not
/// synchronized.
class generation_time_estimator {
public:
    explicit generation_time_estimator(generation_time_settings settings);

    /// Records a generation of \p events that took \p took from its first to its last event.
    void record(const service_name& service, std::uint64_t events, std::chrono::milliseconds took);

    /// \return the expected time for \p events more events, 0 without samples
    std::chrono::milliseconds expectedTime(const service_name& service, std::uint64_t events) const;

    /// \return the time for \p events more events at the pace of the slowest recent generations, 0 without samples
    std::chrono::milliseconds maxTime(const service_name& service, std::uint64_t events) const;

    /// \return a lower bound of the time for \p events more events, 0 without samples
    std::chrono::milliseconds minTime(const service_name& service, std::uint64_t events) const;

private:
    struct pace {
        double meanMsPerEvent;
        double maxMsPerEvent; // approaches the mean while no slower generation is recorded
    };

    generation_time_settings m_settings;
    std::map<service_name, pace> m_paces;
};

} // namespace oriolepick
