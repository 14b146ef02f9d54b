/// \file
/// Paces resumes after a whole availability zone is lost, so that the survivors are not overloaded by prefills.
#pragma once

#include "core/instant.h"

#include <chrono>
#include <cstdint>

namespace oriolepick {

/// Values of a pacer.
struct resume_pacer_settings {
    std::uint32_t burst = 24; ///< resumes within a window that start at once: the streams of one or two engines
    std::chrono::milliseconds window { 500 };
    double perSecond = 200; ///< resumes started a second beyond the burst
    std::chrono::milliseconds maxWait { 1000 }; ///< no resume is held back longer
    std::uint32_t shortStreamTokens = 64; ///< streams with at most this many tokens left skip half of the wait
};

/// Paces the resumes of one node. Not synchronized: one per event loop, or guarded.
class resume_pacer {
public:
    resume_pacer(const resume_pacer_settings& settings, instant now);

    /// Takes the next start slot.
    /// \param remainingTokens upper bound of the stream's tokens still to come: the shortest go first
    /// \return when the resume may start: from \p now to \p now + maxWait
    instant schedule(std::uint32_t remainingTokens, instant now);

private:
    resume_pacer_settings m_settings;
    instant m_windowStart;
    std::uint32_t m_startedInWindow = 0;
    instant m_nextSlot;
};

} // namespace oriolepick
