#include "core/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace oriolepick {

concurrency_limit::concurrency_limit(concurrency_settings settings)
    : m_settings(settings)
{
}

void concurrency_limit::setCapacity(std::uint32_t targets, std::uint32_t batchPlaces)
{
    const bool first = !m_batchPlaces;
    const double share = first ? m_settings.initialShare : m_limit / m_batchPlaces;
    m_targets = targets;
    m_batchPlaces = batchPlaces;
    m_limit = std::clamp(share * batchPlaces, minimum(), maximum());
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
    m_latencySum += latency;
    ++m_samples;
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
    if (now - m_windowStart < m_settings.window)
        return;
    m_windowStart = now;
    const double headroom = std::sqrt(std::max(1.0, m_limit));
    double next = m_limit;
    if (!m_samples) {
        // No news: drift to the initial limit, which is safe for a healthy group.
        next += (m_settings.initialShare * m_batchPlaces - m_limit) * 0.1;
    } else {
        const auto mean = m_latencySum / m_samples;
        const auto allowed = std::max<std::chrono::duration<double>>(
            baseline(mean, now) * m_settings.tolerance, m_settings.latencyFloor);
        const double gradient = std::clamp(allowed / std::max(mean, allowed), 0.5, 1.0);
        if (gradient < 1)
            next = m_limit * gradient + headroom * 0.25;
        else if (m_peakInFlight + headroom >= m_limit) // an unused limit says nothing about its latency
            next = m_limit + headroom;
        next = m_limit + 0.5 * (next - m_limit);
    }
    m_limit = std::clamp(next, minimum(), maximum());
    m_latencySum = std::chrono::duration<double> { 0 };
    m_samples = 0;
    m_peakInFlight = m_inFlight;
}

double concurrency_limit::minimum() const
{
    return std::max(1.0, m_settings.minimumPerTarget * m_targets);
}

double concurrency_limit::maximum() const
{
    return std::max(minimum(), (1 + m_settings.waitingShare) * m_batchPlaces);
}

std::chrono::duration<double> concurrency_limit::baseline(std::chrono::duration<double> mean, instant now)
{
    while (!m_means.empty() && m_means.back().mean >= mean)
        m_means.pop_back();
    m_means.push_back({ now, mean });
    const auto expired = [&](const window_mean& old) { return now - old.at > m_settings.baselineWindow; };
    m_means.erase(m_means.begin(), std::find_if_not(m_means.begin(), m_means.end(), expired));
    return m_means.front().mean;
}

} // namespace oriolepick
