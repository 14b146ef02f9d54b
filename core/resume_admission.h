/// \file
/// Admission of attempts beyond the first of a generation, so that failures do not multiply the load.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolepick {

/// A request to start another attempt of a generation.
struct resume_request {
    team_id team;
    std::string targetGroup; ///< group of the target that failed: deployment and zone
    std::uint32_t remainingTokens = 0; ///< upper bound of the tokens not delivered yet
    bool hedge = false; ///< the first attempt may still be alive
    bool callerRetry = false; ///< the caller's request is itself a retry
};

/// Decides whether and when further attempts of a generation may start.
class resume_admission {
public:
    virtual ~resume_admission() = default;

    /// Charges one attempt to the retry budget.
    /// \return the start time of the attempt, not before \p now, or nothing if the budget is exhausted
    virtual std::optional<instant> admit(const resume_request& request, instant now) = 0;

    /// Credits the retry budget for a completed generation.
    virtual void recordSuccess(const team_id& team, const std::string& targetGroup, instant now) = 0;
};

} // namespace oriolepick
