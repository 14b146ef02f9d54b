/// \file
/// How fast the engines of a service read prompts, learned from first events.
#pragma once

#include "routing/routing_names.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace oriolepick {

/// Weights of prompt_pace.
struct prompt_pace_settings {
    double newShare = 0.1; ///< of a new prompt in the mean: about the last ten prompts count
    /// Shorter prompts say more about connections than about reading.
    std::uint64_t fewestTokens = 500;
    /// Tokens a millisecond until something is measured: a common speed of one accelerator.
    double assumedTokensPerMs = 8;
};

/// Not synchronized.
class prompt_pace {
public:
    explicit prompt_pace(prompt_pace_settings settings);

    /// Records a prompt of \p tokens that an idle reader took \p took for.
    void record(const service_name& service, std::uint64_t tokens, std::chrono::milliseconds took);

    /// \return the time that reading \p tokens takes an engine of \p service which reads nothing else
    std::chrono::milliseconds timeFor(const service_name& service, std::uint64_t tokens) const;

private:
    prompt_pace_settings m_settings;
    std::map<service_name, double> m_msPerToken;
};

} // namespace oriolepick
