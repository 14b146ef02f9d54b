/// \file
/// Token bucket from which one node issues permits for requests to a limited target.
#pragma once

#include "core/instant.h"

#include <chrono>

namespace oriolepick {

/// Issues at most rate * (t + Burst) + 1 permits in any time t while the rate is constant. Permits that nobody requests
/// are kept for Burst only, since a target in need must not get the requests of a quiet period at once.
class permit_bucket {
public:
    /// A new bucket is empty, because the previous owner of the limit may have issued permits until now.
    explicit permit_bucket(instant now);

    /// Sets the rate in permits per second; above 0.
    void setRate(double permitsPerSecond, instant now);

    /// Takes one permit.
    /// \return false if there is none now
    bool take(instant now);

    /// \return the time until the next permit; 0 if there is one now
    std::chrono::milliseconds timeToNext(instant now) const;

    /// Counts requests whose callers were refused for lack of a permit. A request that several targets denied counts in
    /// parts.
    void recordRefused(double requests, instant now);

    /// \return the time in which the target would serve the callers that are refused in one second: the time over which
    /// their returns must be spread
    std::chrono::milliseconds spread(instant now) const;

private:
    double permitsAt(instant now) const;
    double refusedPerSecondAt(instant now) const;

    double m_rate = 0; // permits per second
    double m_permits = 0;
    instant m_refilledAt;
    double m_refusedPerSecond = 0; // exponentially weighted moving average
    instant m_refusedAt;
};

} // namespace oriolepick
