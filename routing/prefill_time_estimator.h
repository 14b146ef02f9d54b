/// \file
/// How fast the engines of a service read prompts, learned from first events.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace oriolepick {

/// Weights of prefill_time_estimator.
struct prefill_time_settings {
    double smoothingFactor = 0.1; ///< of a new prompt in the mean: about the last ten prompts count
    /// Shorter prompts say more about connections than about reading.
    std::uint64_t minTokens = 500;
    /// Tokens a millisecond until something is measured: a common speed of one accelerator.
    double initialTokensPerMs = 8;
};

/// Not synchronized.
class prefill_time_estimator {
public:
    explicit prefill_time_estimator(prefill_time_settings settings);

    /// Records a prompt of \p tokens that an idle reader took \p took for.
    void record(const service_name& service, std::uint64_t tokens, std::chrono::milliseconds took);

    /// \return the time that reading \p tokens takes an engine of \p service which reads nothing else
    std::chrono::milliseconds estimate(const service_name& service, std::uint64_t tokens) const;

private:
    prefill_time_settings m_settings;
    std::map<service_name, double> m_msPerToken;
};

} // namespace oriolepick
