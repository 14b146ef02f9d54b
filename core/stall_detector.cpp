#include "core/stall_detector.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

namespace {

    constexpr double MeanWeight = 0.125; // as for round-trip times in RFC 6298
    constexpr double DeviationWeight = 0.25;
    constexpr double PaceWeight = 0.05; // a target has many streams, so each gap counts less
    constexpr int MinGapsForMean = 4; // fewer gaps say little about the stream's pace
    constexpr std::chrono::microseconds DefaultFirstTokenEstimate { 1'000'000 };

    double toMicroseconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double, std::micro>(duration).count();
    }

} // namespace

void target_pace_tracker::recordGap(const target_id& target, std::chrono::microseconds gap, instant now)
{
    const auto [entry, inserted] = m_paces.try_emplace(target, target_pace { now, gap });
    if (inserted)
        return;
    auto& pace = entry->second;
    pace.lastProgress = std::max(pace.lastProgress, now);
    const auto change = static_cast<double>((gap - pace.meanGap).count()) * PaceWeight;
    pace.meanGap += std::chrono::microseconds(std::lround(change));
}

void target_pace_tracker::forget(const target_id& target)
{
    m_paces.erase(target);
}

std::optional<target_pace> target_pace_tracker::paceOf(const target_id& target) const
{
    const auto entry = m_paces.find(target);
    if (entry == m_paces.end())
        return std::nullopt;
    return entry->second;
}

stall_detector::stall_detector(const stall_settings& settings)
    : m_settings(settings)
{
}

void stall_detector::attemptStarted(instant now, std::chrono::microseconds expectedFirstToken)
{
    m_lastProgress = now;
    m_expectedFirstToken = expectedFirstToken.count() > 0 ? expectedFirstToken : DefaultFirstTokenEstimate;
    m_awaitsFirstToken = true;
}

void stall_detector::reattached(instant now)
{
    m_lastProgress = now;
    if (m_expectedFirstToken.count() == 0)
        m_expectedFirstToken = DefaultFirstTokenEstimate;
}

void stall_detector::tokenArrived(instant now)
{
    const double gap = toMicroseconds(now - m_lastProgress);
    m_lastProgress = now;
    if (m_awaitsFirstToken) {
        m_awaitsFirstToken = false;
        return;
    }
    if (m_gaps++ == 0) {
        m_mean = gap;
        m_deviation = gap / 2;
        return;
    }
    m_deviation += DeviationWeight * (std::abs(gap - m_mean) - m_deviation);
    m_mean += MeanWeight * (gap - m_mean);
}

std::chrono::microseconds stall_detector::allowedGap(const std::optional<target_pace>& pace) const
{
    if (m_awaitsFirstToken) {
        const auto expected = toMicroseconds(m_expectedFirstToken) * m_settings.prefillFactor;
        return std::chrono::microseconds(std::llround(expected)) + m_settings.prefillSlack;
    }
    if (m_gaps < MinGapsForMean && !pace)
        return m_settings.longestGap;
    double mean = m_mean;
    double deviation = m_deviation;
    const double targetMean = pace ? toMicroseconds(pace->meanGap) : 0;
    if (targetMean > mean) {
        // The target slowed down since this stream's own times were taken: both values scale with it.
        deviation = mean > 0 ? deviation * targetMean / mean : targetMean / 2;
        mean = targetMean;
    }
    const std::chrono::microseconds gap(std::llround(mean + m_settings.deviations * deviation));
    return std::clamp(gap, m_settings.shortestGap, m_settings.longestGap);
}

instant stall_detector::suspectAt(const std::optional<target_pace>& pace) const
{
    return m_lastProgress + allowedGap(pace);
}

instant stall_detector::nextTokenExpectedAt(const std::optional<target_pace>& pace) const
{
    if (m_awaitsFirstToken)
        return m_lastProgress + m_expectedFirstToken;
    const double mean = std::max(m_mean, pace ? toMicroseconds(pace->meanGap) : 0.0);
    return m_lastProgress + std::chrono::microseconds(std::llround(2 * mean));
}

bool stall_detector::otherStreamsProgress(const std::optional<target_pace>& pace, instant now) const
{
    // All streams of a batch stop at nearly the same time when an engine dies, so others must have progressed clearly
    // later than this one, and recently.
    return pace && pace->lastProgress >= m_lastProgress + m_settings.shortestGap / 2
        && pace->lastProgress + m_settings.shortestGap >= now;
}

} // namespace oriolepick
