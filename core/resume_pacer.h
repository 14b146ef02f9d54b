/// \file
/// Spreads resumes over time after the loss of an availability zone, so that prefills do not overload the remaining
/// engines.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <cstdint>

namespace oriolepick {

/// Settings of a resume pacer.
struct resume_pacer_settings {
    std::uint32_t burst = 24; ///< resumes per window that start immediately; covers the streams of one or two engines
    std::chrono::milliseconds window { 500 };
    double perSecond = 200; ///< rate at which resumes beyond the burst start
    std::chrono::milliseconds maxWait { 1000 }; ///< maximum delay of a resume
    std::uint32_t shortStreamTokens = 64; ///< streams with at most this many remaining tokens wait half as long
};

/// Paces the resumes of one node. Not synchronized: one per event loop, or guarded.
class resume_pacer {
public:
    resume_pacer(const resume_pacer_settings& settings, instant now);

    /// Reserves the next start slot.
    /// \param remainingTokens upper bound of the stream's remaining tokens; short streams start earlier
    /// \return the start time of the resume, between \p now and \p now + maxWait
    instant schedule(std::uint32_t remainingTokens, instant now);

private:
    resume_pacer_settings m_settings;
    instant m_windowStart;
    std::uint32_t m_startedInWindow = 0;
    instant m_nextSlot;
};

} // namespace oriolepick
