#include "gateway/stream_stall_settings.h"

namespace oriolepick {

namespace {

    /// Below this share of the allowed pause a silence is never a loss: batches stall that long behind long prompts.
    constexpr double ShortestShare = 0.35;
    /// Above this share a silence is always a loss: a resume from a copy takes about a quarter of a common pause.
    constexpr double LongestShare = 0.6;

} // namespace

stall_settings streamStallSettings(std::chrono::milliseconds longestGap)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    stall_settings settings;
    settings.shortestGap = duration_cast<microseconds>(longestGap * ShortestShare);
    settings.longestGap = duration_cast<microseconds>(longestGap * LongestShare);
    return settings;
}

} // namespace oriolepick
