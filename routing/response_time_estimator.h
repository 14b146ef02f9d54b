/// \file
/// Estimates how long the targets of a service take to return a complete response.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <map>

namespace oriolepick {

/// Weights of response_time_estimator.
struct response_time_settings {
    double smoothingFactor = 0.05; ///< weight of a new sample in the moving mean: about the last twenty samples count
    double timeoutFactor = 3.0; ///< a response is late after this multiple of the mean
    /// Lower bound of the timeout as a share of the objective; the rest leaves time for another target.
    double minObjectiveShare = 0.7;
};

/// Keeps a moving mean of the response time for each service. Not synchronized.
class response_time_estimator {
public:
    explicit response_time_estimator(response_time_settings settings);

    void record(const service_name& service, std::chrono::milliseconds took);

    /// \param objective time within which the caller expects its response
    /// \return the timeout of an attempt, after which the request is sent to another target
    std::chrono::milliseconds patience(const service_name& service, std::chrono::milliseconds objective) const;

private:
    response_time_settings m_settings;
    std::map<service_name, double> m_means; // milliseconds
};

} // namespace oriolepick
