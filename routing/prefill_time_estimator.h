/// \file
/// Estimates the prefill time of prompts from the time to the first event.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace oriolepick {

/// Weights of prefill_time_estimator.
struct prefill_time_settings {
    double smoothingFactor = 0.1; ///< weight of a new sample in the moving mean: about the last ten prompts count
    /// Shorter prompts are ignored: their time depends more on the connection than on the prefill.
    std::uint64_t minTokens = 500;
    /// Tokens per millisecond before the first sample: a common speed of one accelerator.
    double initialTokensPerMs = 8;
};

/// Keeps a moving mean of the time per token for each service. Not synchronized.
class prefill_time_estimator {
public:
    explicit prefill_time_estimator(prefill_time_settings settings);

    /// Records that an engine without other prefills took \p took for a prompt of \p tokens.
    void record(const service_name& service, std::uint64_t tokens, std::chrono::milliseconds took);

    /// \return the prefill time of \p tokens on an engine of \p service without other prefills
    std::chrono::milliseconds estimate(const service_name& service, std::uint64_t tokens) const;

private:
    prefill_time_settings m_settings;
    std::map<service_name, double> m_msPerToken;
};

} // namespace oriolepick
