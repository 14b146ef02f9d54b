#include "core/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

concurrency_limit::concurrency_limit(concurrency_settings settings)
    : m_settings(settings)
{
}

void concurrency_limit::setCapacity(std::uint32_t targets, std::uint32_t batchSlots)
{
    const bool first = !m_batchSlots;
    const double share = first ? m_settings.initialShare : m_limit / m_batchSlots;
    m_targets = targets;
    m_batchSlots = batchSlots;
    m_limit = std::clamp(share * batchSlots, minimum(), maximum());
}

bool concurrency_limit::admits(request_priority priority) const
{
    const double share = m_settings.priorityShare[indexOf(priority)];
    // At least one place for each priority, or a small limit would starve bulk requests.
    return m_inFlight < std::max(1.0, std::floor(m_limit * share));
}

void concurrency_limit::recordDispatch()
{
    ++m_inFlight;
    m_peakInFlight = std::max(m_peakInFlight, m_inFlight);
}

void concurrency_limit::recordLatency(std::chrono::milliseconds latency, instant now)
{
    constexpr std::size_t MaxSamples = 1024; // bounds memory when nobody calls update
    if (m_samples.size() < MaxSamples)
        m_samples.push_back(latency);
    update(now);
}

void concurrency_limit::recordFinished()
{
    if (m_inFlight)
        --m_inFlight;
}

void concurrency_limit::update(instant now)
{
    if (!m_started) {
        m_started = true;
        m_windowStart = now;
    }
    const auto age = now - m_windowStart;
    if (age < m_settings.window || (m_samples.size() < m_settings.minimumSamples && age < 4 * m_settings.window))
        return;
    m_windowStart = now;
    const double headroom = std::sqrt(std::max(1.0, m_limit));
    double next = m_limit;
    if (m_samples.empty()) {
        // No news: drift to the initial limit, which is safe for a healthy group.
        next += (m_settings.initialShare * m_batchSlots - m_limit) * 0.1;
    } else {
        // The median, because one slow target is a matter of placement and not of the limit.
        const auto median = takeMedian();
        using precise = std::chrono::duration<double, std::milli>;
        const auto allowed = std::clamp(precise(baseline(median, now)) * m_settings.tolerance,
            precise(m_settings.latencyFloor), precise(m_settings.latencyCeiling));
        const double gradient
            = std::clamp(allowed / std::max(precise(median), allowed), m_settings.minimumGradient, 1.0);
        // Streams run for many windows: while more are in flight than the limit allows, the last cut has not taken
        // effect yet, and a further one would only leave the targets idle later.
        if (gradient < 1)
            next = m_inFlight > m_limit ? m_limit : std::min<double>(m_limit, m_peakInFlight) * gradient;
        else if (m_peakInFlight + headroom >= m_limit) // an unused limit says nothing about its latency
            next = m_limit + headroom / 2;
    }
    m_limit = std::clamp(next, minimum(), maximum());
    m_peakInFlight = m_inFlight;
}

double concurrency_limit::minimum() const
{
    return std::max(1.0, std::min(m_settings.minimumPerTarget * m_targets, m_settings.minimumShare * m_batchSlots));
}

double concurrency_limit::maximum() const
{
    return std::max(minimum(), (1 + m_settings.waitingShare) * m_batchSlots);
}

std::chrono::milliseconds concurrency_limit::takeMedian()
{
    const auto middle = m_samples.begin() + static_cast<std::ptrdiff_t>(m_samples.size() / 2);
    std::nth_element(m_samples.begin(), middle, m_samples.end());
    const auto median = *middle;
    m_samples.clear();
    return median;
}

std::chrono::milliseconds concurrency_limit::baseline(std::chrono::milliseconds median, instant now)
{
    while (!m_medians.empty() && m_medians.back().median >= median)
        m_medians.pop_back();
    m_medians.push_back({ now, median });
    const auto expired = [&](const window_median& old) { return now - old.at > m_settings.baselineWindow; };
    m_medians.erase(m_medians.begin(), std::find_if_not(m_medians.begin(), m_medians.end(), expired));
    return m_medians.front().median;
}

} // namespace oriolepick
