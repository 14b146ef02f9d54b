/// \file
/// How long the targets of a service usually take for a whole answer.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <map>

namespace oriolepick {

/// Weights of response_time_estimator.
struct response_time_settings {
    double smoothingFactor = 0.05; ///< of a new answer in the mean: about the last twenty answers count
    double timeoutFactor = 3.0; ///< an answer that takes this many means is late
    double minObjectiveShare
        = 0.7; ///< but not before this share of the objective, which leaves time for another target
};

/// Learns from answers; not synchronized.
class response_time_estimator {
public:
    explicit response_time_estimator(response_time_settings settings);

    void record(const service_name& service, std::chrono::milliseconds took);

    /// \param objective time within which the caller wants its answer
    /// \return how long to wait for a target before another one is asked
    std::chrono::milliseconds patience(const service_name& service, std::chrono::milliseconds objective) const;

private:
    response_time_settings m_settings;
    std::map<service_name, double> m_means; // milliseconds
};

} // namespace oriolepick
