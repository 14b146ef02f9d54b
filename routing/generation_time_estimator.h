/// \file
/// How long generations take, learned from whole ones: whether one can still end in time.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace oriolepick {

/// Weights of generation_time_estimator.
struct generation_time_settings {
    double smoothingFactor = 0.05; ///< of a new generation in the mean: about the last twenty count
    std::uint64_t minEvents = 5; ///< shorter ones say more about prompts than about pace
    /// Share of the expected time that no generation falls below: callers' estimates of the length are right at the
    /// median only, and the fastest engines are less than twice as fast as the mean.
    double minTimeShare = 0.4;
};

/// Not synchronized.
class generation_time_estimator {
public:
    explicit generation_time_estimator(generation_time_settings settings);

    /// Records a generation of \p events that took \p took from its first event to its last.
    void record(const service_name& service, std::uint64_t events, std::chrono::milliseconds took);

    /// \return the time that \p events more events usually take, 0 while nothing is known
    std::chrono::milliseconds expectedTime(const service_name& service, std::uint64_t events) const;

    /// \return the time below which \p events more events will not come, 0 while nothing is known
    std::chrono::milliseconds minTime(const service_name& service, std::uint64_t events) const;

private:
    generation_time_settings m_settings;
    std::map<service_name, double> m_msPerEvent;
};

} // namespace oriolepick
