#include "gateway/stream_stall_settings.h"

#include <algorithm>

namespace oriolepick {

namespace {

    using std::chrono::milliseconds;

    /// Shares of the allowed pause. Quiet time and the probe's patience together leave half of it for the resume, which
    /// takes a connection and the first event from a copy.
    constexpr double ProbeDelayShare = 0.3;
    constexpr double ProbeTimeoutShare = 0.2;
    /// Lower bounds for routes that allow very short pauses: a probe needs a connection and may lose one packet.
    constexpr milliseconds MinProbeDelay { 100 };
    constexpr milliseconds MinProbeTimeout { 80 };
    /// A live engine is given up only far beyond the allowed pause: its batch stalls behind long prompts, and a move
    /// reads the prompt again.
    constexpr double MinStallFactor = 2.0;
    constexpr double MaxStallFactor = 4.0;
    /// For routes that declare no pause.
    constexpr milliseconds DefaultGap { 1'000 };

    milliseconds shareOfGap(milliseconds gap, double part)
    {
        return std::chrono::duration_cast<milliseconds>((gap.count() ? gap : DefaultGap) * part);
    }

} // namespace

stall_settings streamStallSettings(milliseconds longestGap)
{
    stall_settings settings;
    settings.shortestGap = shareOfGap(longestGap, MinStallFactor);
    settings.longestGap = shareOfGap(longestGap, MaxStallFactor);
    settings.prefillFactor = 3;
    settings.prefillSlack = std::chrono::seconds(2);
    return settings;
}

milliseconds probeDelay(milliseconds longestGap)
{
    return std::max(shareOfGap(longestGap, ProbeDelayShare), MinProbeDelay);
}

milliseconds probeTimeout(milliseconds longestGap)
{
    return std::max(shareOfGap(longestGap, ProbeTimeoutShare), MinProbeTimeout);
}

} // namespace oriolepick
