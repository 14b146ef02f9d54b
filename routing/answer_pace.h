/// \file
/// How long the targets of a service usually take for a whole answer.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <map>

namespace oriolepick {

/// Weights of answer_pace.
struct pace_settings {
    double newShare = 0.05; ///< of a new answer in the mean: about the last twenty answers count
    double latenessFactor = 3.0; ///< an answer that takes this many means is late
    double objectiveShare = 0.7; ///< but not before this share of the objective, which leaves time for another target
};

/// Learns from answers; not synchronized.
class answer_pace {
public:
    explicit answer_pace(pace_settings settings);

    void record(const service_name& service, std::chrono::milliseconds took);

    /// \param objective time within which the caller wants its answer
    /// \return how long to wait for a target before another one is asked
    std::chrono::milliseconds patience(const service_name& service, std::chrono::milliseconds objective) const;

private:
    pace_settings m_settings;
    std::map<service_name, double> m_means; // milliseconds
};

} // namespace oriolepick
