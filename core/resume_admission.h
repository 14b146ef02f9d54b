/// \file
/// Permission for attempts beyond a generation's first, so that failures do not multiply the load.
#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <string>

namespace oriolepick {

/// An attempt beyond the first of a generation.
struct resume_request {
    team_id team;
    std::string targetGroup; ///< group of the target that failed: deployment and zone
    std::uint32_t remainingTokens = 0; ///< upper bound of the tokens still to come
    bool hedge = false; ///< the first attempt may still be alive
    bool callerRetry = false; ///< the caller's request is itself a retry
};

/// Decides whether and when such attempts may start.
class resume_admission {
public:
    virtual ~resume_admission() = default;

    /// Takes one attempt from the budget.
    /// \return when it may start, not before \p now; nothing when the budget has nothing left
    virtual std::optional<instant> admit(const resume_request& request, instant now) = 0;

    /// Records a generation that completed, which earns budget.
    virtual void recordSuccess(const team_id& team, const std::string& targetGroup, instant now) = 0;
};

} // namespace oriolepick
